import VError from 'verror';

import {ClientArguments, createClient} from './common_arguments.js';
import {OperatorAnswer, OperatorRequest} from './operator_client.js';
import {ProgramContext} from './program_context.js';

/** What a command sends and how it shows the answer. */
export interface CommandCall {
  request: OperatorRequest;
  /** Formats the answer for people. */
  format: (answer: OperatorAnswer) => string;
}

/** Runs one call and prints its answer. */
export type CallRunner = (
  given: ClientArguments & {json: boolean},
  call: CommandCall,
) => Promise<void>;

/** Makes the function with which commands run their calls. */
export function createCallRunner(context: ProgramContext): CallRunner {
  return async (given, {request, format}) => {
    const client = createClient(given, context);
    const writeJson = (value: unknown): void =>
      context.write(`${JSON.stringify(value, undefined, 2)}\n`);
    try {
      const answer = await client.call(request);
      if (given.json) writeJson(answer);
      else context.write(format(answer));
    } catch (error) {
      // A refusal of an entry carries facts, such as the current contract.
      const info = VError.info(error as Error);
      if (given.json && 'code' in info) writeJson(info);
      throw error;
    } finally {
      await client.stop();
    }
  };
}
