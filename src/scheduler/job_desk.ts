import xxhash from 'xxhash-wasm';
import {z} from 'zod';

import {Clock} from '../clock/clock.js';
import {jobSchema} from '../jobs/job.js';
import {PeerNetwork} from '../links/peer_network.js';
import {OwnershipView} from '../ownership/ownership_view.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {JobAnswer} from './job_answer.js';
import {ShardDriver} from './shard_driver.js';

/** Options of {@link JobDesk}. */
export interface JobDeskOptions {
  network: PeerNetwork;
  ownership: OwnershipView;
  /** Shards of the data centre. */
  shards: () => readonly string[];
  /** Driver of an owned shard. */
  driverOf: (shard: string) => ShardDriver | undefined;
  /** Free processors of a shard as far as known here. */
  freeOf: (shard: string) => number;
  isStopping: () => boolean;
  clock: Clock;
}

const ROLE = 'scheduler';

/** A request is passed on at most this often. */
const MOST_HOPS = 2;

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
export class JobDesk {
  constructor(private readonly options: JobDeskOptions) {
    const {network} = options;
    network.onRequest('submit', (body) => this.submit(body));
    network.onRequest('jobStatus', (body) => this.status(body));
    network.onRequest('cancel', (body) => this.cancel(body));
  }

  /**
   * Handles a `submit`. A job goes to the first shard in its order that can
   * ever hold it; only racks differ in what they can hold.
   */
  async submit(body: unknown): Promise<JobAnswer> {
    const message = parse(submitSchema, body, 'submit');
    if (message.shard !== undefined) {
      return this.submitTo(message.shard, message);
    }
    let refusal = failure(ResultCodes.NO_OWNER, 'no worker is known');
    for (const shard of this.shardsFor(
      message.job.id,
      message.job.isAttached,
    )) {
      try {
        return await this.submitTo(shard, message);
      } catch (error) {
        if (!hasCode(error, ResultCodes.NEVER_FITS)) throw error;
        refusal = error as ResultError;
      }
    }
    throw refusal;
  }

  /** Handles a `jobStatus`. */
  status(body: unknown): Promise<JobAnswer> {
    const message = parse(lookupSchema, body, 'jobStatus');
    return this.lookUp('jobStatus', message, (driver) =>
      Promise.resolve(driver.describe(message.jobId)!),
    );
  }

  /** Handles a `cancel`. */
  cancel(body: unknown): Promise<JobAnswer> {
    const message = parse(lookupSchema, body, 'cancel');
    return this.lookUp('cancel', message, (driver) =>
      driver.cancel(message.jobId, message.remainingMs),
    );
  }

  private async submitTo(
    shard: string,
    message: z.infer<typeof submitSchema>,
  ): Promise<JobAnswer> {
    const {job, remainingMs} = message;
    const driver = this.options.driverOf(shard);
    if (driver && this.options.isStopping()) {
      throw failure(ResultCodes.STOPPING, 'the scheduler is stopping');
    }
    if (driver) return driver.submit(job, remainingMs);
    try {
      return await this.passOn('submit', shard, {...message, shard});
    } catch (error) {
      const isDoubtful =
        error instanceof ResultError &&
        error.code.outcome === Outcome.MAY_HAVE_RUN &&
        !job.isAttached;
      if (!isDoubtful) throw error;
      const text = `the owner of "${shard}" did not answer`;
      throw failure(ResultCodes.MAY_HAVE_BEEN_ACCEPTED, text);
    }
  }

  /** Answers for a job of an owned shard, or asks the owners of the others. */
  private async lookUp(
    name: string,
    message: z.infer<typeof lookupSchema>,
    answer: (driver: ShardDriver) => Promise<JobAnswer>,
  ): Promise<JobAnswer> {
    const {jobId} = message;
    let isUncertain = false;
    const shards = message.shard
      ? [message.shard]
      : this.shardsFor(jobId, false);
    for (const shard of shards) {
      const driver = this.options.driverOf(shard);
      if (driver?.controller.job(jobId)) return answer(driver);
      if (driver) {
        isUncertain ||= !driver.controller.isReady;
        continue;
      }
      try {
        return await this.passOn(name, shard, {...message, shard});
      } catch (error) {
        if (hasCode(error, ResultCodes.NOT_FOUND)) continue;
        if (!hasCode(error, ResultCodes.NO_OWNER)) throw error;
        isUncertain = true;
      }
    }
    if (isUncertain) {
      throw failure(ResultCodes.NO_OWNER, 'an owner is taking over');
    }
    throw failure(ResultCodes.NOT_FOUND, `no job "${jobId}"`);
  }

  /**
   * Shards in the order in which they are tried. The order of a stored job
   * follows from its id alone, so that a repeat through another scheduler
   * finds the first one; attached work goes where most is free.
   */
  private shardsFor(jobId: string, isAttached: boolean): string[] {
    const rank = isAttached
      ? (shard: string): number => this.options.freeOf(shard)
      : (shard: string): number => hasher.h32(`${shard} ${jobId}`);
    return this.options
      .shards()
      .map((shard) => ({shard, rank: rank(shard)}))
      .sort((a, b) => b.rank - a.rank)
      .map(({shard}) => shard);
  }

  private async passOn(
    name: string,
    shard: string,
    message: {hops: number; remainingMs: number; shard?: string},
  ): Promise<JobAnswer> {
    const owner = this.options.ownership.ownerOf(shard);
    const isSelf = owner?.member === this.options.network.identity.member;
    if (!owner || isSelf || message.hops >= MOST_HOPS) {
      throw failure(ResultCodes.NO_OWNER, `no owner of "${shard}" is known`);
    }
    const to = {role: ROLE, member: owner.member};
    const body = {...message, hops: message.hops + 1};
    const timeoutMs = message.remainingMs;
    const answer = await this.options.network.request(to, name, {
      body,
      timeoutMs,
    });
    return answer as JobAnswer;
  }
}

function parse<T>(schema: z.ZodType<T>, body: unknown, name: string): T {
  const result = schema.safeParse(body);
  if (result.success) return result.data;
  const issue = result.error.issues[0]!;
  const text = `${name}: ${issue.path.join('.')}: ${issue.message}`;
  throw failure(ResultCodes.BAD_REQUEST, text);
}

function hasCode(error: unknown, code: ResultCode): boolean {
  return error instanceof ResultError && error.code === code;
}

function failure(code: ResultCode, reason: string): ResultError {
  return new ResultError(code, `Cannot handle the job: ${reason}`);
}
