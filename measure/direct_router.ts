import {Pool} from 'undici';

import {AdmissionPolicy} from '../src/admission/admission_policy.js';
import {WaitingRequest} from '../src/admission/waiting_request.js';
import {Clock} from '../src/clock/clock.js';
import {RoutingPolicy, TargetLoad} from '../src/routing/routing_policy.js';

/** Options of {@link DirectRouter}. */
export interface DirectRouterOptions {
  clock: Clock;
  admission: AdmissionPolicy;
  routing: RoutingPolicy;
  /** Origin of each target by its name. */
  origins: ReadonlyMap<string, string>;
  /** Requests that each target may run concurrently. @default 8 */
  slots?: number;
  /**
   * Sends a request to a target; resolves to true if the whole response
   * arrived.
   * @default a GET request with the work time in the `x-work-ms` header
   */
  send?: (pool: Pool, request: WaitingRequest) => Promise<boolean>;
}

/** How a request ended. */
export type RequestOutcome = 'answered' | 'failed' | 'refused' | 'expired';

interface PendingRequest {
  workMs: number;
  resolve: (outcome: RequestOutcome) => void;
}

/** Interval in ms between checks for requests whose deadline has passed. */
const EXPIRY_INTERVAL_MS = 20;

const NO_ATTEMPTED_TARGETS: ReadonlySet<string> = new Set();

/**
 * Minimal in-process router for measurements: admission, routing and HTTP
 * clients for the targets, without an HTTP server for callers.
 */
export class DirectRouter {
  /** Largest number of requests that waited at once, by `customer/urgency`. */
  readonly maxWaitingByClass = new Map<string, number>();
  private readonly waitingByClass = new Map<string, number>();
  private readonly loads: TargetLoad[] = [];
  private readonly loadByName = new Map<string, TargetLoad>();
  private readonly pools = new Map<string, Pool>();
  private readonly pending = new Map<string, PendingRequest>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: DirectRouterOptions) {
    const {slots = 8} = options;
    for (const [target, origin] of options.origins) {
      const load = {target, slots, inUse: 0, isAvailable: true};
      this.loads.push(load);
      this.loadByName.set(target, load);
      this.pools.set(target, new Pool(origin, {connections: slots}));
    }
    this.timer = setInterval(() => this.expireRequests(), EXPIRY_INTERVAL_MS);
  }

  /**
   * Submits a request that takes `workMs` to admission and routing; resolves
   * to its outcome.
   */
  submit(request: WaitingRequest, workMs: number): Promise<RequestOutcome> {
    const result = this.options.admission.offer(request);
    if (!result.admitted) return Promise.resolve('refused');
    this.updateWaitingCount(request, 1);
    return new Promise((resolve) => {
      this.pending.set(request.requestId, {workMs, resolve});
      this.dispatch(request.service);
    });
  }

  /** Stops the expiry timer and closes all connections. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private dispatch(service: string): void {
    const {admission, routing} = this.options;
    while (admission.waitingCount(service) > 0) {
      // Routing uses only the urgency of a request, which is not known before
      // `dequeue`. Passes the urgency that is most common in measurements.
      const choice = routing.choose(this.loads, {
        urgency: 'standard',
        attempted: NO_ATTEMPTED_TARGETS,
      });
      if (!choice) return;
      const request = admission.dequeue(service);
      if (!request) return;
      void this.runRequest(request, choice.target);
    }
  }

  private async runRequest(
    request: WaitingRequest,
    target: string,
  ): Promise<void> {
    const {clock, admission, routing} = this.options;
    const load = this.loadByName.get(target)!;
    const {workMs, resolve} = this.pending.get(request.requestId)!;
    this.pending.delete(request.requestId);
    this.updateWaitingCount(request, -1);
    load.inUse += 1;
    const startMs = clock.nowMs();
    const pool = this.pools.get(target)!;
    const succeeded = await (this.options.send?.(pool, request) ??
      this.send(pool, workMs));
    const latencyMs = clock.nowMs() - startMs;
    load.inUse -= 1;
    admission.recordCompletion(request, latencyMs);
    const {urgency} = request;
    routing.recordResult({target, latencyMs, succeeded, urgency});
    resolve(succeeded ? 'answered' : 'failed');
    this.dispatch(request.service);
  }

  private async send(pool: Pool, workMs: number): Promise<boolean> {
    try {
      const answer = await pool.request({
        path: '/work',
        method: 'GET',
        headers: {'x-work-ms': String(workMs)},
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  private updateWaitingCount(request: WaitingRequest, change: number): void {
    const key = `${request.customer}/${request.urgency}`;
    const waitingCount = (this.waitingByClass.get(key) ?? 0) + change;
    this.waitingByClass.set(key, waitingCount);
    this.maxWaitingByClass.set(
      key,
      Math.max(waitingCount, this.maxWaitingByClass.get(key) ?? 0),
    );
  }

  private expireRequests(): void {
    for (const request of this.options.admission.removeExpired()) {
      this.updateWaitingCount(request, -1);
      this.pending.get(request.requestId)?.resolve('expired');
      this.pending.delete(request.requestId);
      this.dispatch(request.service);
    }
  }
}
