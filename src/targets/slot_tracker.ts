import {Clock} from '../clock/clock.js';
import {TargetStatus} from './target_status.js';

/** Maximum number of slots of an executor, even if it reports more. */
const MAX_SLOTS = 8;

// While requests start and end continuously, the executor's count of slots in
// use cannot be attributed to lost requests. While some are lost, no new
// request is sent for QUIESCE_MS in each interval, so that the count becomes
// exact. Long requests may outlast this time.
const QUIESCE_INTERVAL_MS = 10_000;
const QUIESCE_DELAY_MS = 2000;
const QUIESCE_MS = 1000;

// Bytes of a lost request may still be in transit when its connection is
// closed. A lost packet is retransmitted within this time.
const IN_TRANSIT_MS = 500;

/**
 * Tracks conservatively which slots of one executor are in use. A request whose
 * response was lost may still run, so it keeps its slot until the executor
 * reports it free. So do requests that other owners sent under other epochs.
 */
export class SlotTracker {
  private slots = 0;
  private otherEpochsInUse = 0;
  /** IDs of the requests in flight. */
  private readonly running = new Set<string>();
  /** Number of requests that may still run after their response was lost. */
  private lostCount = 0;
  private lostSinceMs = 0;
  private lastLossMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of slots that may be acquired now. */
  get free(): number {
    const used = this.running.size + this.lostCount + this.otherEpochsInUse;
    return this.isQuiescing() ? 0 : Math.max(0, this.slots - used);
  }

  /** Number of slots of the executor. */
  get total(): number {
    return this.slots;
  }

  /** Number of requests of this owner in flight. */
  get inFlight(): number {
    return this.running.size;
  }

  /** True if a status read now would count exactly the lost requests. */
  get needsExactStatus(): boolean {
    return this.isQuiescing() && this.running.size === 0;
  }

  /** Marks a slot as in use by a request. */
  acquire(requestId: string): void {
    this.running.add(requestId);
  }

  /**
   * Releases the slot of a request, or counts the request as lost.
   *
   * @param hasEnded - False if the request may still run at the executor.
   */
  release(requestId: string, hasEnded: boolean): void {
    if (!this.running.delete(requestId) || hasEnded) return;
    const nowMs = this.clock.nowMs();
    if (this.lostCount === 0) this.lostSinceMs = nowMs;
    this.lostCount += 1;
    this.lastLossMs = nowMs;
  }

  /**
   * Applies a status read from the executor.
   *
   * @param sentMs - Monotonic time in ms at which the probe was sent.
   */
  applyStatus(status: TargetStatus, epoch: number, sentMs: number): void {
    this.slots = Math.min(MAX_SLOTS, status.slots);
    let ownInUse = 0;
    this.otherEpochsInUse = 0;
    for (const [key, count] of Object.entries(status.slotsInUseByEpoch)) {
      if (Number(key) === epoch) ownInUse += count;
      else this.otherEpochsInUse += count;
    }
    if (sentMs > this.lastLossMs + IN_TRANSIT_MS) {
      // Requests in flight may have ended at the executor, or not reached it
      // yet, so they cannot be subtracted from its count.
      this.lostCount = Math.min(this.lostCount, ownInUse);
    }
  }

  private isQuiescing(): boolean {
    if (this.lostCount === 0) return false;
    const elapsedMs = this.clock.nowMs() - this.lostSinceMs;
    const phaseMs = (elapsedMs - QUIESCE_DELAY_MS) % QUIESCE_INTERVAL_MS;
    return phaseMs >= 0 && phaseMs < QUIESCE_MS;
  }
}
