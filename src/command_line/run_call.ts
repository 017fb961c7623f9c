import VError from 'verror';

import {ClientArguments, createClient} from './common_arguments.js';
import {OperatorResponse, OperatorRequest} from './operator_client.js';
import {ProgramContext} from './program_context.js';

/** What a command sends and how it shows the answer. */
export interface CommandCall {
  request: OperatorRequest;
  /** Formats the answer for people. */
  format: (response: OperatorResponse) => string;
}

/** Runs one call and prints its answer. */
export type CallRunner = (
  parsedArguments: ClientArguments & {json: boolean},
  call: CommandCall,
) => Promise<void>;

/** Makes the function with which commands run their calls. */
export function createCallRunner(context: ProgramContext): CallRunner {
  return async (parsedArguments, {request, format}) => {
    const client = createClient(parsedArguments, context);
    const writeJson = (value: unknown): void =>
      context.write(`${JSON.stringify(value, undefined, 2)}\n`);
    try {
      const response = await client.call(request);
      if (parsedArguments.json) writeJson(response);
      else context.write(format(response));
    } catch (error) {
      // A refusal of an entry carries facts, such as the current contract.
      const info = VError.info(error as Error);
      if (parsedArguments.json && 'code' in info) writeJson(info);
      throw error;
    } finally {
      await client.stop();
    }
  };
}
