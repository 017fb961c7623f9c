import {createHash, randomUUID} from 'node:crypto';

import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {PlatformEntry, PlatformService} from '../platform/platform_service.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  ClaimRecord,
  claimRecordSchema,
  ClaimResult,
  HeldClaim,
} from './claim_record.js';

/** Options of {@link ClaimStore}. */
export interface ClaimStoreOptions {
  platform: Pick<PlatformService, 'read' | 'write' | 'delete'>;
  clock: Clock;
  /** Member that makes the claims. */
  member: string;
  incarnation: string;
  /** Time in ms between calls while a result is in doubt. @default 50 */
  retryMs?: number;
}

/** What a key is claimed for. */
export interface ClaimRequest {
  customer: string;
  caller: string;
  /** Key as the caller gave it. */
  key: string;
  /** Digest of the request. */
  fingerprint: string;
  /** Job that the key stands for. @default none */
  jobId?: string;
  /** Monotonic time in ms at which the attempt is given up. */
  deadlineMs: number;
}

/** Time in ms for which a key is remembered. */
const TIME_TO_LIVE_MS = 86_400_000;

/** Time in ms in which a claim of work that did not run is taken back. */
const RELEASE_TIMEOUT_MS = 60_000;

/**
 * Claims idempotency keys in the platform, one key each. A write in doubt is
 * settled by reading the claim back and comparing the attempt.
 */
export class ClaimStore {
  private readonly stopping = new AbortController();

  constructor(private readonly options: ClaimStoreOptions) {}

  /**
   * Claims a key.
   *
   * @returns Whether this attempt holds the claim, or the earlier one.
   * @throws ResultError PLATFORM_UNAVAILABLE if that can't be settled before
   *     the deadline; the claim is then taken back in the background.
   */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const {member, incarnation, clock, retryMs = 50} = this.options;
    const key = claimKey(request);
    const {fingerprint, jobId} = request;
    const attempt = randomUUID();
    const claimedWallMs = clock.wallMs();
    const record: ClaimRecord = {
      attempt,
      member,
      incarnation,
      fingerprint,
      claimedWallMs,
      jobId,
    };
    let mayBeWritten = false;
    let lastError: Error | undefined;
    while (clock.nowMs() < request.deadlineMs) {
      try {
        return await this.attempt(key, record);
      } catch (error) {
        lastError = error as Error;
        mayBeWritten ||= isInDoubt(error);
      }
      await sleep(retryMs);
    }
    if (mayBeWritten) void this.takeBack(key, {attempt, isInDoubt: true});
    throw new ResultError(
      ResultCodes.PLATFORM_UNAVAILABLE,
      'Cannot claim the key: the platform gave no certain answer in time',
      {cause: lastError},
    );
  }

  /**
   * Takes a claim back, because the work did not run.
   *
   * @param waitMs - Longest wait in ms; it goes on in the background.
   */
  async release(claim: HeldClaim, waitMs: number): Promise<void> {
    const {attempt} = claim.record;
    const done = this.takeBack(claim.key, {attempt, isInDoubt: false});
    await Promise.race([done, sleep(waitMs)]);
  }

  /** Ends work in the background. */
  stop(): void {
    this.stopping.abort();
  }

  private async attempt(
    key: string,
    record: ClaimRecord,
  ): Promise<ClaimResult> {
    try {
      const result = await this.options.platform.write({
        key,
        value: JSON.stringify(record),
        expectedRevision: 0,
        timeToLiveMs: TIME_TO_LIVE_MS,
      });
      if (result.written) {
        const {revision} = result;
        return {kind: 'granted', claim: {key, revision, record}};
      }
      if (result.current) return claimResultOf(result.current, record);
      throw inDoubtError('the claim was there and is gone');
    } catch (error) {
      if (!isInDoubt(error)) throw error;
      const current = await this.readBack(key);
      if (current) return claimResultOf(current, record);
      // The write may still take effect; the next one settles it.
      throw error;
    }
  }

  private async readBack(key: string): Promise<PlatformEntry | undefined> {
    try {
      return await this.options.platform.read(key);
    } catch (error) {
      throw inDoubtError((error as Error).message);
    }
  }

  /** Deletes the claim if it is the attempt's, as soon as that succeeds. */
  private async takeBack(
    key: string,
    claim: {attempt: string; isInDoubt: boolean},
  ): Promise<void> {
    const {clock, retryMs = 50} = this.options;
    const untilMs = clock.nowMs() + RELEASE_TIMEOUT_MS;
    let waitMs = retryMs;
    const {signal} = this.stopping;
    while (clock.nowMs() < untilMs && !signal.aborted) {
      try {
        const isGone = await this.deleteOwn(key, claim.attempt);
        // A write in doubt may take effect after it was found absent.
        if (isGone && !claim.isInDoubt) return;
      } catch {
        // Tried again, because a claim that stays refuses the caller's repeat.
      }
      await sleep(waitMs, {signal});
      waitMs *= 2;
    }
  }

  private async deleteOwn(key: string, attempt: string): Promise<boolean> {
    const {platform} = this.options;
    const current = await platform.read(key);
    if (!current) return true;
    const record = claimRecordSchema.parse(JSON.parse(current.value));
    if (record.attempt !== attempt) return true;
    const result = await platform.delete(key, current.revision);
    return result.written;
  }
}

/** Key of a claim in the platform; callers don't share their keys. */
function claimKey(request: ClaimRequest): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([request.caller, request.key]))
    .digest('hex');
  return `claims/${request.customer}/${hash}`;
}

function claimResultOf(current: PlatformEntry, own: ClaimRecord): ClaimResult {
  const record = claimRecordSchema.parse(JSON.parse(current.value));
  if (record.attempt !== own.attempt) return {kind: 'taken', record};
  const {key, revision} = current;
  return {kind: 'granted', claim: {key, revision, record}};
}

function inDoubtError(reason: string): ResultError {
  return new ResultError(
    ResultCodes.CHANGE_IN_DOUBT,
    `Cannot settle the claim: ${reason}`,
  );
}

function isInDoubt(error: unknown): boolean {
  return (
    error instanceof ResultError &&
    error.code.number === ResultCodes.CHANGE_IN_DOUBT.number
  );
}
