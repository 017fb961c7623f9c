import {Clock} from '../clock/clock.js';

/** Options of {@link EvictionClaims}. */
export interface EvictionClaimsOptions {
  /** Time in ms after which an eviction is no longer expected. @default 10000 */
  expiryMs?: number;
}

/**
 * Tasks that are about to be evicted, with the task that gets their room. An
 * eviction takes time; without claims several urgent tasks would wait for the
 * room of one victim.
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

  /** Remembers that `taskId` gets the room of the victims. */
  claim(victims: readonly string[], taskId: string): void {
    const untilMs = this.clock.nowMs() + this.expiryMs;
    for (const victim of victims) {
      this.claims.set(victim, {claimant: taskId, untilMs});
    }
  }

  /** Forgets the claim on a task that is gone. */
  release(victim: string): void {
    this.claims.delete(victim);
  }

  /** Tells whether a victim is claimed by another task than `taskId`. */
  isClaimed(victim: string, taskId: string): boolean {
    const claim = this.claims.get(victim);
    if (!claim || claim.claimant === taskId) return false;
    if (claim.untilMs > this.clock.nowMs()) return true;
    this.claims.delete(victim);
    return false;
  }
}
