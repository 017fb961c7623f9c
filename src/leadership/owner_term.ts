import {Clock} from '../clock/clock.js';
import {NodeLog} from '../logging/node_log.js';
import {MetadataStore} from '../store/metadata_store.js';

/** Simultaneous readings of the monotonic and the wall clock. */
interface ClockReading {
  nowMs: number;
  /** Unix time in ms; unlike `nowMs`, it includes time suspended. */
  wallMs: number;
}

/** Options of {@link OwnerTerm}. */
export interface OwnerTermOptions {
  store: MetadataStore;
  clock: Clock;
  log: NodeLog;
  lease: number;
  leaseMs: number;
  /** Clock reading taken just before the lease was granted. */
  grantedAt: ClockReading;
  /** Fencing token; also the revision of the head that began the term. */
  token: number;
}

/** Number of renewals per lease period. */
const RENEWALS_PER_LEASE = 8;

/** Delay in ms before a failed renewal is retried. */
const RENEW_RETRY_MS = 200;

/** Time in ms of failing renewals after which listeners are notified. */
const RENEWAL_STALL_MS = 300;

/** Safety margin in ms before the end of the lease. */
const LEASE_MARGIN_MS = 150;

/** Term of ownership of a partition by this node; keeps its lease renewed. */
export class OwnerTerm {
  /** Whether this node has ended the term. */
  isOver = false;
  readonly token: number;
  readonly leaseMs: number;
  private renewedAt: ClockReading;
  private readonly endListeners: Array<() => void> = [];
  private readonly stallListeners: Array<() => void> = [];
  private failingSinceMs: number | undefined;
  private renewalTimer: NodeJS.Timeout | undefined;
  /** Time in ms at which the next renewal is due. */
  private renewalDueMs = Infinity;

  constructor(private readonly options: OwnerTermOptions) {
    this.token = options.token;
    this.leaseMs = options.leaseMs;
    this.renewedAt = options.grantedAt;
    this.scheduleRenewal(this.leaseMs / RENEWALS_PER_LEASE);
  }

  /** Registers a listener that is called once, when the term ends. */
  onEnd(listener: () => void): void {
    this.endListeners.push(listener);
  }

  /**
   * Registers a listener that is called after each failed renewal once renewals
   * have been failing for {@link RENEWAL_STALL_MS}, so that a node which reaches
   * the store can take over.
   */
  onRenewalStalled(listener: () => void): void {
    this.stallListeners.push(listener);
  }

  /**
   * Whether the lease excludes another owner now, by both clocks and with a
   * safety margin. Does not cover a store that removes the owner key early.
   */
  get isLeaseValid(): boolean {
    const {clock, leaseMs} = this.options;
    const limitMs = leaseMs - LEASE_MARGIN_MS;
    return (
      !this.isOver &&
      clock.nowMs() - this.renewedAt.nowMs < limitMs &&
      clock.wallMs() - this.renewedAt.wallMs < limitMs
    );
  }

  /** Ends the term locally and leaves the lease to expire. */
  end(reason: string): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.renewalTimer);
    this.options.log.logDecision('term-ended', {term: this.token, reason});
    for (const listener of this.endListeners) listener();
  }

  /** Ends the term and its lease, so that another node can take over now. */
  release(): Promise<void> {
    return this.abandon('released');
  }

  /** Ends the term for a reason, and its lease, which removes the owner key. */
  async abandon(reason: string): Promise<void> {
    if (this.isOver) return;
    this.end(reason);
    const {store, lease, log} = this.options;
    await store.endLease(lease).catch((error: Error) => {
      log.logDecision('release-failed', {reason: error.message});
    });
  }

  /**
   * Renews the lease if a renewal is due. Call it between pieces of work: a
   * process that is behind runs its timers late, and its lease would end.
   */
  renewIfDue(): void {
    if (this.isOver || this.options.clock.nowMs() < this.renewalDueMs) return;
    void this.renew();
  }

  private async renew(): Promise<void> {
    const {store, clock, lease, leaseMs, log} = this.options;
    const reading = {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
    // The next one does not wait for the response, which may be read late.
    this.scheduleRenewal(leaseMs / RENEWALS_PER_LEASE);
    try {
      if (await store.renewLease(lease)) this.recordRenewal(reading);
      else this.end('the lease has ended');
      this.failingSinceMs = undefined;
    } catch (error) {
      log.logDecision('renew-failed', {reason: (error as Error).message});
      if (!this.isOver) this.scheduleRenewal(RENEW_RETRY_MS);
      this.recordRenewalFailure(reading.nowMs);
    }
  }

  private scheduleRenewal(delayMs: number): void {
    clearTimeout(this.renewalTimer);
    this.renewalDueMs = this.options.clock.nowMs() + delayMs;
    this.renewalTimer = setTimeout(() => void this.renew(), delayMs);
  }

  private recordRenewal(reading: ClockReading): void {
    if (reading.nowMs > this.renewedAt.nowMs) this.renewedAt = reading;
  }

  private recordRenewalFailure(sentMs: number): void {
    this.failingSinceMs ??= sentMs;
    const failingMs = this.options.clock.nowMs() - this.failingSinceMs;
    if (this.isOver || failingMs < RENEWAL_STALL_MS) return;
    for (const listener of this.stallListeners) listener();
  }
}
