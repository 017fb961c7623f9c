import xxhash from 'xxhash-wasm';
import {z} from 'zod';

import {Clock} from '../clock/clock.js';
import {jobSchema} from '../jobs/job.js';
import {PeerNetwork} from '../links/peer_network.js';
import {OwnershipView} from '../ownership/ownership_view.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {JobStatus} from './job_status.js';
import {ShardDriver} from './shard_driver.js';

/** Options of {@link JobRequestHandler}. */
export interface JobRequestHandlerOptions {
  network: PeerNetwork;
  ownership: OwnershipView;
  /** Shards of the data centre. */
  shards: () => readonly string[];
  /** Driver of a shard, if this process owns it. */
  driverOf: (shard: string) => ShardDriver | undefined;
  /** Latest known number of free processors of a shard. */
  freeProcessorsOf: (shard: string) => number;
  isStopping: () => boolean;
  clock: Clock;
}

const ROLE = 'scheduler';

/** Maximum number of times a request is forwarded. */
const MAX_HOPS = 2;

const submitSchema = z.object({
  job: jobSchema,
  remainingMs: z.number().positive().max(86_400_000).default(10_000),
  hops: z.int().min(0).default(0),
  /** Shard chosen by the forwarding scheduler. */
  shard: z.string().optional(),
});

const lookupSchema = z.object({
  jobId: z.string().min(1),
  remainingMs: z.number().positive().max(86_400_000).default(10_000),
  hops: z.int().min(0).default(0),
  /** Shard to search; all shards if absent. */
  shard: z.string().optional(),
});

const hasher = await xxhash();

/**
 * Handles `submit`, `jobStatus` and `cancel` requests. Requests for shards that
 * this process does not own are forwarded to their owner.
 */
export class JobRequestHandler {
  constructor(private readonly options: JobRequestHandlerOptions) {
    const {network} = options;
    network.onRequest('submit', (body) => this.submit(body));
    network.onRequest('jobStatus', (body) => this.status(body));
    network.onRequest('cancel', (body) => this.cancel(body));
  }

  /**
   * Handles a `submit` request. Submits the job to the first shard in the order
   * of `rankShards` that has a worker large enough for it. Only a refusal for
   * size leads to the next shard, because racks differ in the sizes of their
   * workers; any other error is returned to the caller.
   */
  async submit(body: unknown): Promise<JobStatus> {
    const message = parse(submitSchema, body, 'submit');
    if (message.shard !== undefined) {
      return this.submitTo(message.shard, message);
    }
    let lastRefusal = jobError(ResultCodes.NO_OWNER, 'no worker is known');
    for (const shard of this.rankShards(
      message.job.id,
      message.job.isAttached,
    )) {
      try {
        return await this.submitTo(shard, message);
      } catch (error) {
        if (!hasCode(error, ResultCodes.NEVER_FITS)) throw error;
        lastRefusal = error as ResultError;
      }
    }
    throw lastRefusal;
  }

  /** Handles a `jobStatus` request. */
  status(body: unknown): Promise<JobStatus> {
    const message = parse(lookupSchema, body, 'jobStatus');
    return this.answerOrForward('jobStatus', message, (driver) =>
      Promise.resolve(driver.describe(message.jobId)!),
    );
  }

  /** Handles a `cancel` request. */
  cancel(body: unknown): Promise<JobStatus> {
    const message = parse(lookupSchema, body, 'cancel');
    return this.answerOrForward('cancel', message, (driver) =>
      driver.cancel(message.jobId, message.remainingMs),
    );
  }

  private async submitTo(
    shard: string,
    message: z.infer<typeof submitSchema>,
  ): Promise<JobStatus> {
    const {job, remainingMs} = message;
    const driver = this.options.driverOf(shard);
    if (driver && this.options.isStopping()) {
      throw jobError(ResultCodes.STOPPING, 'the scheduler is shutting down');
    }
    if (driver) return driver.submit(job, remainingMs);
    try {
      return await this.forward('submit', shard, {...message, shard});
    } catch (error) {
      const isOutcomeUnknown =
        error instanceof ResultError &&
        error.code.outcome === Outcome.MAY_HAVE_RUN &&
        !job.isAttached;
      if (!isOutcomeUnknown) throw error;
      const text = `the owner of shard "${shard}" did not answer`;
      throw jobError(ResultCodes.MAY_HAVE_BEEN_ACCEPTED, text);
    }
  }

  /**
   * Searches the shards for a job: owned ones here, others by forwarding the
   * request. NOT_FOUND is only returned if every shard could be searched.
   */
  private async answerOrForward(
    name: string,
    message: z.infer<typeof lookupSchema>,
    answer: (driver: ShardDriver) => Promise<JobStatus>,
  ): Promise<JobStatus> {
    const {jobId} = message;
    let hasUnavailableOwner = false;
    const shards = message.shard
      ? [message.shard]
      : this.rankShards(jobId, false);
    for (const shard of shards) {
      const driver = this.options.driverOf(shard);
      if (driver?.controller.job(jobId)) return answer(driver);
      if (driver) {
        hasUnavailableOwner ||= !driver.controller.isReady;
        continue;
      }
      try {
        return await this.forward(name, shard, {...message, shard});
      } catch (error) {
        if (hasCode(error, ResultCodes.NOT_FOUND)) continue;
        if (!hasCode(error, ResultCodes.NO_OWNER)) throw error;
        hasUnavailableOwner = true;
      }
    }
    if (hasUnavailableOwner) {
      throw jobError(
        ResultCodes.NO_OWNER,
        'a shard owner is starting or unreachable',
      );
    }
    throw jobError(ResultCodes.NOT_FOUND, `job "${jobId}" does not exist`);
  }

  /**
   * Returns the shards in the order in which they are tried. For stored jobs it
   * depends only on a hash of the job ID, so that a repeated request through
   * another scheduler finds the same shard first. Attached jobs, which are not
   * stored, try the shard with the most free processors first.
   */
  private rankShards(jobId: string, isAttached: boolean): string[] {
    const rank = isAttached
      ? (shard: string): number => this.options.freeProcessorsOf(shard)
      : (shard: string): number => hasher.h32(`${shard} ${jobId}`);
    return this.options
      .shards()
      .map((shard) => ({shard, rank: rank(shard)}))
      .sort((a, b) => b.rank - a.rank)
      .map(({shard}) => shard);
  }

  private async forward(
    name: string,
    shard: string,
    message: {hops: number; remainingMs: number; shard?: string},
  ): Promise<JobStatus> {
    const owner = this.options.ownership.ownerOf(shard);
    const isSelf = owner?.member === this.options.network.identity.member;
    if (!owner || isSelf || message.hops >= MAX_HOPS) {
      throw jobError(
        ResultCodes.NO_OWNER,
        `shard "${shard}" has no known owner`,
      );
    }
    const to = {role: ROLE, member: owner.member};
    const body = {...message, hops: message.hops + 1};
    const timeoutMs = message.remainingMs;
    const answer = await this.options.network.request(to, name, {
      body,
      timeoutMs,
    });
    return answer as JobStatus;
  }
}

function parse<T>(schema: z.ZodType<T>, body: unknown, name: string): T {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  const issue = result.error.issues[0]!;
  const text = `${name}: ${issue.path.join('.')}: ${issue.message}`;
  throw jobError(ResultCodes.BAD_REQUEST, text);
}

function hasCode(error: unknown, code: ResultCode): boolean {
  return error instanceof ResultError && error.code === code;
}

function jobError(code: ResultCode, reason: string): ResultError {
  return new ResultError(code, `Cannot handle job request: ${reason}`);
}
