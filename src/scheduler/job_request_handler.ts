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
  /** Driver of an owned shard. */
  driverOf: (shard: string) => ShardDriver | undefined;
  /** Free processors of a shard as far as known here. */
  freeProcessorsOf: (shard: string) => number;
  isStopping: () => boolean;
  clock: Clock;
}

const ROLE = 'scheduler';

/** A request is passed on at most this often. */
const MAX_HOPS = 2;

const submitSchema = z.object({
  job: jobSchema,
  remainingMs: z.number().positive().max(86_400_000).default(10_000),
  hops: z.int().min(0).default(0),
  /** Shard that the scheduler before chose. */
  shard: z.string().optional(),
});

const lookupSchema = z.object({
  jobId: z.string().min(1),
  remainingMs: z.number().positive().max(86_400_000).default(10_000),
  hops: z.int().min(0).default(0),
  /** Shard that is asked; all of them if absent. */
  shard: z.string().optional(),
});

const hasher = await xxhash();

/** Answers `submit`, `jobStatus` and `cancel`, or passes them to the owner. */
export class JobRequestHandler {
  constructor(private readonly options: JobRequestHandlerOptions) {
    const {network} = options;
    network.onRequest('submit', (body) => this.submit(body));
    network.onRequest('jobStatus', (body) => this.status(body));
    network.onRequest('cancel', (body) => this.cancel(body));
  }

  /**
   * Handles a `submit`. A job goes to the first shard in its order that can
   * ever hold it; only racks differ in what they can hold.
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

  /** Handles a `jobStatus`. */
  status(body: unknown): Promise<JobStatus> {
    const message = parse(lookupSchema, body, 'jobStatus');
    return this.answerOrForward('jobStatus', message, (driver) =>
      Promise.resolve(driver.describe(message.jobId)!),
    );
  }

  /** Handles a `cancel`. */
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
      throw jobError(ResultCodes.STOPPING, 'the scheduler is stopping');
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
      const text = `the owner of "${shard}" did not answer`;
      throw jobError(ResultCodes.MAY_HAVE_BEEN_ACCEPTED, text);
    }
  }

  /** Answers for a job of an owned shard, or asks the owners of the others. */
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
      throw jobError(ResultCodes.NO_OWNER, 'an owner is taking over');
    }
    throw jobError(ResultCodes.NOT_FOUND, `no job "${jobId}"`);
  }

  /**
   * Shards in the order in which they are tried. The order of a stored job
   * follows from its id alone, so that a repeat through another scheduler
   * finds the first one; attached work goes where most is free.
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
      throw jobError(ResultCodes.NO_OWNER, `no owner of "${shard}" is known`);
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
  return new ResultError(code, `Cannot handle the job: ${reason}`);
}
