import VError from 'verror';

import {ClientArguments, createClient} from './common_arguments.js';
import {OperatorResponse, OperatorRequest} from './operator_client.js';
import {ProgramContext} from './program_context.js';

/** Request of a command and the formatter of the response. */
export interface CommandCall {
  request: OperatorRequest;
  /** Formats the response as text. */
  format: (response: OperatorResponse) => string;
}

/** Sends one request and prints the response. */
export type CallRunner = (
  parsedArguments: ClientArguments & {json: boolean},
  call: CommandCall,
) => Promise<void>;

/** Creates the function that commands use to send their requests. */
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
      // An error response carries details, such as the current contract.
      const info = VError.info(error as Error);
      if (parsedArguments.json && 'code' in info) writeJson(info);
      throw error;
    } finally {
      await client.stop();
    }
  };
}
