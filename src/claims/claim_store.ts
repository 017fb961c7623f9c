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
  /** Id of this member, which makes the claims. */
  member: string;
  /** Incarnation of this member. */
  incarnation: string;
  /** Delay in ms between calls while a result is in doubt. @default 50 */
  retryMs?: number;
}

/** A request to claim an idempotency key. */
export interface ClaimRequest {
  customer: string;
  caller: string;
  /** Key as given by the caller. */
  key: string;
  /** Digest of the request. */
  fingerprint: string;
  /** Id of the job to which the key belongs. @default none */
  jobId?: string;
  /** Monotonic time in ms at which the attempt is abandoned. */
  deadlineMs: number;
}

/** Time in ms for which the platform keeps a claim. */
const TIME_TO_LIVE_MS = 86_400_000;

/** Time in ms after which attempts to release a claim end. */
const RELEASE_TIMEOUT_MS = 60_000;

/**
 * Claims idempotency keys in the platform; each claim is one platform key. A
 * write in doubt is resolved by reading the claim back and comparing the
 * attempt.
 */
export class ClaimStore {
  private readonly stopping = new AbortController();

  constructor(private readonly options: ClaimStoreOptions) {}

  /**
   * Claims a key.
   *
   * @returns The granted claim, or the earlier claim that holds the key.
   * @throws ResultError PLATFORM_UNAVAILABLE if the result is not certain
   *     before the deadline; a claim that may exist is then released in the
   *     background.
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
        const mayReappear = mayBeWritten;
        return await this.attempt(key, {record, mayReappear});
      } catch (error) {
        lastError = error as Error;
        mayBeWritten ||= isInDoubt(error);
      }
      await sleep(retryMs);
    }
    if (mayBeWritten) void this.takeBack(key, {attempt, isInDoubt: true});
    throw new ResultError(
      ResultCodes.PLATFORM_UNAVAILABLE,
      'Cannot claim the key: the platform gave no definite response before the deadline',
      {cause: lastError},
    );
  }

  /**
   * Releases a claim, because the work did not run.
   *
   * @param claim - Claim to release.
   * @param waitMs - Maximum time in ms to wait for the release, which continues
   *     in the background.
   */
  async release(claim: HeldClaim, waitMs: number): Promise<void> {
    const {key, record, mayReappear} = claim;
    const {attempt} = record;
    const released = this.takeBack(key, {attempt, isInDoubt: false});
    if (mayReappear) {
      void released.then(() => this.takeBack(key, {attempt, isInDoubt: true}));
    }
    await Promise.race([released, sleep(waitMs)]);
  }

  /** Stops the releases in the background. */
  stop(): void {
    this.stopping.abort();
  }

  private async attempt(
    key: string,
    own: Pick<HeldClaim, 'record' | 'mayReappear'>,
  ): Promise<ClaimResult> {
    const {record} = own;
    try {
      const result = await this.options.platform.write({
        key,
        value: JSON.stringify(record),
        expectedRevision: 0,
        timeToLiveMs: TIME_TO_LIVE_MS,
      });
      if (result.written) {
        const {revision} = result;
        return {kind: 'granted', claim: {...own, key, revision}};
      }
      if (result.current) return claimResultOf(result.current, own);
      throw inDoubtError('an earlier claim disappeared during the write');
    } catch (error) {
      if (!isInDoubt(error)) throw error;
      const current = await this.readBack(key);
      if (current) return claimResultOf(current, own);
      // The write may still take effect; the next attempt resolves it.
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

  /**
   * Deletes the claim if the attempt made it, with retries until the timeout.
   */
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
        const isDeleted = await this.deleteOwn(key, claim.attempt);
        // A write in doubt may still take effect after the claim was found
        // absent.
        if (isDeleted && !claim.isInDoubt) return;
      } catch {
        // Retries, because a remaining claim would reject the caller's retry.
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

/** Returns the platform key of a claim; each caller has keys of its own. */
function claimKey(request: ClaimRequest): string {
  const hash = createHash('sha256')
    .update(JSON.stringify([request.caller, request.key]))
    .digest('hex');
  return `claims/${request.customer}/${hash}`;
}

function claimResultOf(
  current: PlatformEntry,
  own: Pick<HeldClaim, 'record' | 'mayReappear'>,
): ClaimResult {
  const record = claimRecordSchema.parse(JSON.parse(current.value));
  if (record.attempt !== own.record.attempt) return {kind: 'taken', record};
  const {key, revision} = current;
  const {mayReappear} = own;
  return {kind: 'granted', claim: {key, revision, record, mayReappear}};
}

function inDoubtError(reason: string): ResultError {
  return new ResultError(
    ResultCodes.CHANGE_IN_DOUBT,
    `Cannot determine whether the claim was written: ${reason}`,
  );
}

function isInDoubt(error: unknown): boolean {
  return (
    error instanceof ResultError &&
    error.code.number === ResultCodes.CHANGE_IN_DOUBT.number
  );
}
