import {Clock} from '../clock/clock.js';

/** Options of {@link EvictionClaims}. */
export interface EvictionClaimsOptions {
  /** Time in ms after which a claim expires. @default 10000 */
  expiryMs?: number;
}

/**
 * Tasks that are being evicted, each with the task that gets its resources. An
 * eviction takes time; without claims, several urgent tasks would wait for the
 * resources of the same victim.
 */
export class EvictionClaims {
  private readonly claims = new Map<
    string,
    {claimant: string; untilMs: number}
  >();
  private readonly expiryMs: number;

  constructor(
    private readonly clock: Clock,
    options: EvictionClaimsOptions = {},
  ) {
    this.expiryMs = options.expiryMs ?? 10_000;
  }

  /** Claims the resources of the victims for the task `taskId`. */
  claim(victims: readonly string[], taskId: string): void {
    const untilMs = this.clock.nowMs() + this.expiryMs;
    for (const victim of victims) {
      this.claims.set(victim, {claimant: taskId, untilMs});
    }
  }

  /** Removes the claim on a task that no longer holds resources. */
  release(victim: string): void {
    this.claims.delete(victim);
  }

  /** Returns whether a task other than `taskId` holds a claim on the victim. */
  isClaimed(victim: string, taskId: string): boolean {
    const claim = this.claims.get(victim);
    if (!claim || claim.claimant === taskId) return false;
    if (claim.untilMs > this.clock.nowMs()) return true;
    this.claims.delete(victim);
    return false;
  }
}
