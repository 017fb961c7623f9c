import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {NodeLog} from '../logging/node_log.js';
import {MetadataStore} from '../store/metadata_store.js';

/** A moment on both clocks. */
interface ClockReading {
  nowMs: number;
  /** Counts time for which the VM was suspended. */
  wallMs: number;
}

/** Options of {@link OwnerTerm}. */
export interface OwnerTermOptions {
  store: MetadataStore;
  clock: Clock;
  log: NodeLog;
  lease: number;
  leaseMs: number;
  /** Moment just before the lease was granted. */
  grantedAt: ClockReading;
  /** Fencing token and revision of the head. */
  token: number;
}

/** Renewals in one lease period. */
const RENEWALS_PER_LEASE = 4;

/** Pause in ms before a renewal that failed is tried again. */
const RENEW_RETRY_MS = 200;

/** Time in ms of failed renewals after which another node should take over. */
const RENEWAL_STALL_MS = 300;

/** Part of the lease in ms in which the owner no longer relies on it. */
const LEASE_MARGIN_MS = 150;

/** Time in which one node owns a partition. */
export class OwnerTerm {
  /** Tells whether the term has ended for this node. */
  isOver = false;
  readonly token: number;
  readonly leaseMs: number;
  private renewedAt: ClockReading;
  private readonly endListeners: Array<() => void> = [];
  private readonly stallListeners: Array<() => void> = [];
  private failingSinceMs: number | undefined;

  constructor(private readonly options: OwnerTermOptions) {
    this.token = options.token;
    this.leaseMs = options.leaseMs;
    this.renewedAt = options.grantedAt;
    void this.runRenewalLoop();
  }

  /** Calls `listener` once when the term ends. */
  onEnd(listener: () => void): void {
    this.endListeners.push(listener);
  }

  /** Calls `listener` each time a renewal fails while the store is away. */
  onRenewalStalled(listener: () => void): void {
    this.stallListeners.push(listener);
  }

  /**
   * Tells whether nobody else can own the partition now, unless the store has
   * removed the owner key before the lease ended.
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

  /** Ends the term because another owner was seen or this node stops. */
  end(reason: string): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.log.decide('term-ended', {term: this.token, reason});
    for (const listener of this.endListeners) listener();
  }

  /** Ends the term and removes the owner key, so that others need not wait. */
  release(): Promise<void> {
    return this.abandon('released');
  }

  /** Ends the term for `reason` and removes the owner key. */
  async abandon(reason: string): Promise<void> {
    if (this.isOver) return;
    this.end(reason);
    const {store, lease, log} = this.options;
    await store.endLease(lease).catch((error: Error) => {
      log.decide('release-failed', {reason: error.message});
    });
  }

  private async runRenewalLoop(): Promise<void> {
    const {store, clock, lease, leaseMs, log} = this.options;
    let pauseMs = leaseMs / RENEWALS_PER_LEASE;
    while (!this.isOver) {
      await sleep(pauseMs);
      if (this.isOver) return;
      const reading = {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
      try {
        if (await store.renewLease(lease)) this.renewedAt = reading;
        else this.end('the lease has ended');
        this.failingSinceMs = undefined;
        pauseMs = leaseMs / RENEWALS_PER_LEASE;
      } catch (error) {
        log.decide('renew-failed', {reason: (error as Error).message});
        pauseMs = RENEW_RETRY_MS;
        this.recordRenewalFailure(reading.nowMs);
      }
    }
  }

  private recordRenewalFailure(sentMs: number): void {
    this.failingSinceMs ??= sentMs;
    const failingMs = this.options.clock.nowMs() - this.failingSinceMs;
    if (this.isOver || failingMs < RENEWAL_STALL_MS) return;
    for (const listener of this.stallListeners) listener();
  }
}
