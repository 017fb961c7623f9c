import {PeerNetwork} from '../links/peer_network.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link JobClient}. */
export interface JobClientOptions {
  network: Pick<PeerNetwork, 'request'>;
  /** Members whose schedulers are asked, the local one first. */
  schedulers: readonly string[];
}

/** Requests that schedulers answer. */
export type JobRequestName = 'submit' | 'jobStatus' | 'cancel';

// Another scheduler of the data centre may be able to help after these.
const TRY_NEXT: ReadonlySet<number> = new Set([
  ResultCodes.NO_OWNER.number,
  ResultCodes.STOPPING.number,
]);

/** Sends requests about jobs to the schedulers of the data centre. */
export class JobClient {
  constructor(private readonly options: JobClientOptions) {}

  /**
   * Asks the schedulers in turn until one answers.
   *
   * @throws ResultError of the scheduler; MAY_HAVE_BEEN_ACCEPTED or
   *     ANSWER_LOST if a request was sent and no answer came.
   */
  async request(
    name: JobRequestName,
    message: {remainingMs: number} & Record<string, unknown>,
  ): Promise<unknown> {
    let refusal = new ResultError(
      ResultCodes.NO_OWNER,
      `Cannot send "${name}": no scheduler is known`,
    );
    for (const member of this.options.schedulers) {
      try {
        return await this.options.network.request(
          {role: 'scheduler', member},
          name,
          {body: message, timeoutMs: message.remainingMs},
        );
      } catch (error) {
        if (!(error instanceof ResultError)) throw error;
        if (!TRY_NEXT.has(error.code.number)) throw error;
        refusal = error;
      }
    }
    throw refusal;
  }
}

/** Code for a caller whose submission failed. */
export function submissionCode(
  code: ResultCode,
  isAttached: boolean,
): ResultCode {
  const isDoubtful = code.outcome === Outcome.MAY_HAVE_RUN;
  return isDoubtful && !isAttached ? ResultCodes.MAY_HAVE_BEEN_ACCEPTED : code;
}
