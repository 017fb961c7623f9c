import {Clock} from '../clock/clock.js';
import {VmEntry} from '../platform/platform_service.js';
import {TargetLoad} from '../routing/routing_policy.js';
import {loadStateChart} from '../state_charts/load_state_chart.js';
import {SlotTracker} from './slot_tracker.js';
import {
  ResponseSink,
  TargetClient,
  TargetRequest,
  TargetResult,
  TargetResultKind,
} from './target_client.js';

/** State of an owned target; transitions are in owned_target.json. */
export type OwnedTargetState =
  'unread' | 'available' | 'unreachable' | 'leaving' | 'fenced';

type OwnedTargetEvent =
  'statusRead' | 'failed' | 'leavingNoticed' | 'epochRefused';

/** Options of {@link OwnedTarget}. */
export interface OwnedTargetOptions {
  vm: VmEntry;
  /** Epoch of the shard that the target belongs to. */
  epoch: number;
  client: TargetClient;
  clock: Clock;
  /** Called after each change that may free a slot or remove one. */
  onChange: () => void;
  /** Called once the target has refused the epoch of this owner. */
  onFenced: () => void;
  /** Time between probes in ms. @default 1000 */
  probeIntervalMs?: number;
}

const chart = loadStateChart<OwnedTargetState, OwnedTargetEvent>(
  'owned_target.json',
  import.meta.url,
);

/** A target whose slots this process owns under one epoch of its shard. */
export class OwnedTarget {
  private readonly slotTracker: SlotTracker;
  private currentState: OwnedTargetState = chart.initial;
  private timer: NodeJS.Timeout | undefined;
  private isProbing = false;
  private isRetired = false;

  constructor(private readonly options: OwnedTargetOptions) {
    this.slotTracker = new SlotTracker(options.clock);
  }

  /** Name of the target's VM. */
  get name(): string {
    return this.options.vm.vm;
  }

  get vm(): VmEntry {
    return this.options.vm;
  }

  get epoch(): number {
    return this.options.epoch;
  }

  get state(): OwnedTargetState {
    return this.currentState;
  }

  /** Number of requests of this owner in flight. */
  get inFlight(): number {
    return this.slotTracker.inFlight;
  }

  /** Returns the load as used for routing. */
  load(): TargetLoad {
    const {total, free} = this.slotTracker;
    const usable = Math.min(free, this.options.client.availableCount());
    return {
      target: this.name,
      slots: total,
      inUse: total - usable,
      isAvailable:
        this.currentState === 'available' && !this.isRetired && usable > 0,
    };
  }

  /** Starts probing; the target becomes available with the first status. */
  start(): void {
    void this.probe();
  }

  /** Acquires a slot; {@link load} must have shown a free one. */
  acquireSlot(requestId: string): void {
    this.slotTracker.acquire(requestId);
  }

  /** Releases an acquired slot that was not used. */
  releaseSlot(requestId: string): void {
    this.recordEnd(requestId, true);
  }

  /** Sends a request on a slot acquired by {@link acquireSlot}. */
  async send(
    requestId: string,
    request: TargetRequest,
    sink: ResponseSink,
  ): Promise<TargetResult> {
    const {client, epoch} = this.options;
    const result = await client.send(request, sink, epoch);
    this.applyResult(result);
    if (result.kind === TargetResultKind.LOST) {
      void this.releaseAfterEnd(requestId, result);
    } else this.recordEnd(requestId, true);
    return result;
  }

  /** Stops taking requests; closes connections once none is in flight. */
  retire(): void {
    this.isRetired = true;
    clearTimeout(this.timer);
    this.closeIfIdle();
  }

  /** Keeps the slot of a lost request until its end is detected. */
  private async releaseAfterEnd(
    requestId: string,
    result: {ended?: Promise<boolean>},
  ): Promise<void> {
    this.recordEnd(requestId, (await result.ended) === true);
  }

  private recordEnd(requestId: string, hasEnded: boolean): void {
    this.slotTracker.release(requestId, hasEnded);
    if (this.slotTracker.needsExactStatus) void this.probe();
    this.closeIfIdle();
    this.options.onChange();
  }

  private closeIfIdle(): void {
    if (this.isRetired && this.slotTracker.inFlight === 0) {
      void this.options.client.stop();
    }
  }

  private applyResult(result: TargetResult): void {
    switch (result.kind) {
      case TargetResultKind.REFUSED:
        if (result.reason === 'leaving') this.apply('leavingNoticed');
        if (result.reason === 'epoch') this.apply('epochRefused');
        break;
      case TargetResultKind.NOT_SENT:
        if (result.reason.includes('ECONNREFUSED')) this.apply('failed');
        void this.probe();
        break;
      case TargetResultKind.LOST:
        if (!result.isTimeout) void this.probe();
        break;
      default:
    }
  }

  private apply(event: OwnedTargetEvent): void {
    const next = chart.next(this.currentState, event);
    if (next === undefined) return;
    this.currentState = next;
    if (next === 'fenced') this.options.onFenced();
  }

  private async probe(): Promise<void> {
    if (this.isProbing || this.isRetired) return;
    this.isProbing = true;
    clearTimeout(this.timer);
    try {
      await this.readStatus().catch((error: Error) => {
        // Possibly only the probe connection is broken; retries on a new one.
        if (error.message.includes('ECONNREFUSED')) throw error;
        return this.readStatus();
      });
    } catch {
      this.apply('failed');
    }
    this.isProbing = false;
    this.options.onChange();
    if (this.isRetired || chart.isFinal(this.currentState)) return;
    this.timer = setTimeout(
      () => void this.probe(),
      this.options.probeIntervalMs ?? 1000,
    );
  }

  private async readStatus(): Promise<void> {
    const {client, clock, epoch} = this.options;
    const sentMs = clock.nowMs();
    const status = await client.probe(epoch);
    this.slotTracker.applyStatus(status, epoch, sentMs);
    if (status.epoch > epoch) this.apply('epochRefused');
    else if (status.leaving) this.apply('leavingNoticed');
    else this.apply('statusRead');
  }
}
