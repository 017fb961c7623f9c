import {randomUUID} from 'node:crypto';

import {PeerNetwork} from '../links/peer_network.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link JobClient}. */
export interface JobClientOptions {
  network: Pick<PeerNetwork, 'request' | 'onRequest'>;
  /** Data centre of this entry. */
  dataCentre: string;
  /** Returns the entries of a data centre, for jobs submitted there. */
  entriesOf: (dataCentre: string) => readonly string[];
  /** Members whose schedulers are tried in this order, the local one first. */
  schedulers: readonly string[];
}

/** Names of the requests that schedulers handle. */
export type JobRequestName = 'submit' | 'jobStatus' | 'cancel';

// After these codes, another scheduler of the data centre may succeed.
const FAILOVER_CODES: ReadonlySet<number> = new Set([
  ResultCodes.NO_OWNER.number,
  ResultCodes.STOPPING.number,
]);

/** Name of the peer request about a job of another data centre. */
const REMOTE_REQUEST = 'jobRequest';

/** A request about a job, which is identified by its ID. */
type JobMessage = {remainingMs: number} & (
  {jobId: string} | {job: {id: string} & Record<string, unknown>}
);

/**
 * Sends requests about jobs to the schedulers of the data centre in the job's
 * ID. Schedulers of other data centres have no record of the job; requests to
 * them alone led to a second submission and a second run of the job.
 */
export class JobClient {
  constructor(private readonly options: JobClientOptions) {
    options.network.onRequest(REMOTE_REQUEST, (body) => {
      const {name, message} = body as {
        name: JobRequestName;
        message: JobMessage;
      };
      return this.requestFromSchedulers(name, message);
    });
  }

  /**
   * Sends a request to the schedulers of the job's data centre.
   *
   * @throws ResultError of the scheduler; MAY_HAVE_BEEN_ACCEPTED or
   *     ANSWER_LOST if a request was sent and no reply was received.
   */
  request(name: JobRequestName, message: JobMessage): Promise<unknown> {
    const jobId = 'job' in message ? message.job.id : message.jobId;
    const dataCentre = dataCentreOf(jobId);
    const isLocal = dataCentre === this.options.dataCentre;
    if (isLocal) return this.requestFromSchedulers(name, message);
    return this.requestWithFailover(name, {
      role: 'entry',
      members: this.options.entriesOf(dataCentre),
      request: REMOTE_REQUEST,
      body: {name, message},
      timeoutMs: message.remainingMs,
    });
  }

  private requestFromSchedulers(
    name: JobRequestName,
    message: JobMessage,
  ): Promise<unknown> {
    return this.requestWithFailover(name, {
      role: 'scheduler',
      members: this.options.schedulers,
      request: name,
      body: message,
      timeoutMs: message.remainingMs,
    });
  }

  /**
   * Sends a request to the members in order until one handles it.
   *
   * @throws ResultError of the scheduler; MAY_HAVE_BEEN_ACCEPTED or
   *     ANSWER_LOST if a request was sent and no reply was received.
   */
  private async requestWithFailover(
    name: JobRequestName,
    destination: {
      role: 'entry' | 'scheduler';
      members: readonly string[];
      request: string;
      body: unknown;
      timeoutMs: number;
    },
  ): Promise<unknown> {
    const {role, members, request, body, timeoutMs} = destination;
    let refusal = new ResultError(
      ResultCodes.NO_OWNER,
      `Cannot send "${name}": no ${role} is known`,
    );
    for (const member of members) {
      try {
        return await this.options.network.request({role, member}, request, {
          body,
          timeoutMs,
        });
      } catch (error) {
        if (!(error instanceof ResultError)) throw error;
        if (!FAILOVER_CODES.has(error.code.number)) throw error;
        refusal = error;
      }
    }
    throw refusal;
  }
}

/** Separator of the fields of a job ID, which do not contain it. */
const ID_SEPARATOR = '.';

/** Creates a job ID, which starts with the customer and the data centre. */
export function createJobId(customer: string, dataCentre: string): string {
  return [customer, dataCentre, randomUUID()].join(ID_SEPARATOR);
}

/** Returns the data centre to which a job was submitted. */
function dataCentreOf(jobId: string): string {
  return jobId.split(ID_SEPARATOR)[1] ?? '';
}

/** Returns the result code for the caller of a submission that failed. */
export function submissionCode(
  code: ResultCode,
  isAttached: boolean,
): ResultCode {
  const mayHaveRun = code.outcome === Outcome.MAY_HAVE_RUN;
  return mayHaveRun && !isAttached ? ResultCodes.MAY_HAVE_BEEN_ACCEPTED : code;
}
