import {Clock} from '../clock/clock.js';
import {TargetStatus} from './target_status.js';

/** Requests that an executor runs at once at most, whatever it reports. */
const MAX_SLOTS = 8;

// While requests start and end all the time, a count of the executor can't be
// attributed to lost ones. Then no new request is sent for a moment, so that
// the count becomes exact; long requests may outlast the moment.
const QUIESCE_INTERVAL_MS = 10_000;
const QUIESCE_DELAY_MS = 2000;
const QUIESCE_MS = 1000;

// Bytes of a lost request may still be under way when its connection is
// closed; a stalled packet is repeated within this time.
const IN_TRANSIT_MS = 500;

/**
 * Which slots of one executor are in use, as far as its owner can prove. A
 * request whose answer was lost may still run and keeps its slot until the
 * executor reports it free; so do requests that earlier owners sent.
 */
export class SlotTracker {
  private slots = 0;
  private otherEpochsInUse = 0;
  /** Requests in flight. */
  private readonly running = new Set<string>();
  /** Requests that may still run although their answer was lost. */
  private lostCount = 0;
  private lostSinceMs = 0;
  private lastLossMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of requests that may be sent now. */
  get free(): number {
    const used = this.running.size + this.lostCount + this.otherEpochsInUse;
    return this.isQuiescing() ? 0 : Math.max(0, this.slots - used);
  }

  /** Slots the executor offers. */
  get total(): number {
    return this.slots;
  }

  /** Requests of this owner in flight. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Tells whether a status would show exactly which slots are lost. */
  get needsExactStatus(): boolean {
    return this.isQuiescing() && this.running.size === 0;
  }

  /** Records that a slot is given to a request. */
  acquire(requestId: string): void {
    this.running.add(requestId);
  }

  /**
   * Records the end of a request.
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
   * Applies a status.
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
      // Requests in flight may have ended at the executor, or not arrived, so
      // that they can't be subtracted.
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
