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
  /** Entries of a data centre, for jobs that were submitted there. */
  entriesOf: (dataCentre: string) => readonly string[];
  /** Members whose schedulers are asked, the local one first. */
  schedulers: readonly string[];
}

/** Requests that schedulers answer. */
export type JobRequestName = 'submit' | 'jobStatus' | 'cancel';

// Another scheduler of the data centre may be able to help after these.
const FAILOVER_CODES: ReadonlySet<number> = new Set([
  ResultCodes.NO_OWNER.number,
  ResultCodes.STOPPING.number,
]);

/** Request of an entry about a job of another data centre. */
const REMOTE_REQUEST = 'jobRequest';

/** A request about a job, which its id names. */
type JobMessage = {remainingMs: number} & (
  {jobId: string} | {job: {id: string} & Record<string, unknown>}
);

/**
 * Sends requests about jobs to the schedulers of the data centre that a job's
 * id names. The schedulers of another data centre do not know the job; asking
 * only them led to a second submission and a second run.
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
   * Asks the schedulers of the job's data centre.
   *
   * @throws ResultError of the scheduler; MAY_HAVE_BEEN_ACCEPTED or
   *     ANSWER_LOST if a request was sent and no answer came.
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
   * Asks the members in turn until one answers.
   *
   * @throws ResultError of the scheduler; MAY_HAVE_BEEN_ACCEPTED or
   *     ANSWER_LOST if a request was sent and no answer came.
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

/** Separates the parts of a job id; occurs neither in names nor in ids. */
const ID_SEPARATOR = '.';

/** Id of a new job, which begins with its customer and its data centre. */
export function createJobId(customer: string, dataCentre: string): string {
  return [customer, dataCentre, randomUUID()].join(ID_SEPARATOR);
}

/** Data centre to which a job was submitted. */
function dataCentreOf(jobId: string): string {
  return jobId.split(ID_SEPARATOR)[1] ?? '';
}

/** Code for a caller whose submission failed. */
export function submissionCode(
  code: ResultCode,
  isAttached: boolean,
): ResultCode {
  const mayHaveRun = code.outcome === Outcome.MAY_HAVE_RUN;
  return mayHaveRun && !isAttached ? ResultCodes.MAY_HAVE_BEEN_ACCEPTED : code;
}
