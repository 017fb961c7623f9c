import {Clock} from '../clock/clock.js';
import {TargetStatus} from './target_status.js';

/** Requests that an executor runs at once at most, whatever it reports. */
const MOST_SLOTS = 8;

// After this time without a clear reading no new request is sent until the
// executor's count can be compared with what this owner still has in flight.
const DRAIN_AFTER_MS = 2000;

// Bytes of a lost request may still be under way when its connection is
// closed; a stalled packet is repeated within this time.
const SETTLE_MS = 500;

/**
 * Which slots of one executor are in use, as far as its owner can prove. A
 * request whose answer was lost may still run and keeps its slot until the
 * executor reports it free; so do requests that earlier owners sent.
 */
export class SlotAccount {
  private slots = 0;
  private earlierInUse = 0;
  /** Requests in flight, with the time in ms at which each was begun. */
  private readonly running = new Map<string, number>();
  /** Requests that may still run although their answer was lost. */
  private lostCount = 0;
  private lostSinceMs = 0;
  private lastLossMs = 0;
  private lastProbeSentMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of requests that may be sent now. */
  get free(): number {
    const used = this.running.size + this.lostCount + this.earlierInUse;
    return this.mustDrain() ? 0 : Math.max(0, this.slots - used);
  }

  /** Slots the executor offers. */
  get total(): number {
    return this.slots;
  }

  /** Requests of this owner in flight. */
  get inFlight(): number {
    return this.running.size;
  }

  /** Tells whether lost requests keep slots. */
  get hasLost(): boolean {
    return this.lostCount > 0;
  }

  /** Records that a slot is given to a request. */
  begin(requestId: string): void {
    this.running.set(requestId, this.clock.nowMs());
  }

  /**
   * Records the end of a request.
   *
   * @param isCertain - False if the request may still run at the executor.
   */
  end(requestId: string, isCertain: boolean): void {
    if (!this.running.delete(requestId) || isCertain) return;
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
  apply(status: TargetStatus, epoch: number, sentMs: number): void {
    this.slots = Math.min(MOST_SLOTS, status.slots);
    let ownInUse = 0;
    this.earlierInUse = 0;
    for (const [key, count] of Object.entries(status.slotsInUseByEpoch)) {
      if (Number(key) === epoch) ownInUse += count;
      else this.earlierInUse += count;
    }
    if (sentMs > this.lastLossMs + SETTLE_MS) this.limitLost(ownInUse);
    this.lastProbeSentMs = sentMs;
  }

  private limitLost(ownInUse: number): void {
    // Requests begun before the previous probe have certainly arrived.
    const arrived = [...this.running.values()].filter(
      (begunMs) => begunMs < this.lastProbeSentMs,
    ).length;
    this.lostCount = Math.min(this.lostCount, Math.max(0, ownInUse - arrived));
    const isExact = arrived === this.running.size;
    if (isExact) this.lostSinceMs = this.clock.nowMs();
  }

  private mustDrain(): boolean {
    const elapsedMs = this.clock.nowMs() - this.lostSinceMs;
    return this.lostCount > 0 && elapsedMs > DRAIN_AFTER_MS;
  }
}
