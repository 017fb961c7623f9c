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
    try {
      const answer = await client.call(request);
      const json = `${JSON.stringify(answer, undefined, 2)}\n`;
      context.write(given.json ? json : format(answer));
    } finally {
      await client.stop();
    }
  };
}
