import {AdmissionPolicy} from '../admission/admission_policy.js';
import {WaitingRequest} from '../admission/waiting_request.js';
import {Clock} from '../clock/clock.js';
import {DecisionLog} from '../logging/decision_log.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {RetryBudget} from '../routing/retry_budget.js';
import {
  RoutingChoice,
  RoutingPolicy,
  TargetLoad,
} from '../routing/routing_policy.js';
import {
  ResponseSink,
  TargetRequest,
  TargetResult,
  TargetResultKind,
} from '../targets/target_client.js';
import {TargetFleet} from '../targets/target_fleet.js';
import {PeerSlots} from './peer_slots.js';
import {
  CallerResult,
  REQUEST_ID_HEADER,
  TIMEOUT_HEADER,
} from './result_headers.js';
import {resultOfAttempt} from './result_of_attempt.js';
import {ServiceCall} from './service_call.js';
import {ServiceCallEnd} from './service_call_end.js';

/** Options of {@link ServiceRouter}. */
export interface ServiceRouterOptions {
  admission: AdmissionPolicy;
  /**
   * Returns the routing policy of a service. Each service has its own, because
   * latencies of different services are not comparable.
   */
  routingOf: (service: string) => RoutingPolicy;
  fleet: TargetFleet;
  /** Slots at other entries of the data centre. */
  peers: PeerSlots;
  clock: Clock;
  decisions: DecisionLog;
  /** Maximum number of attempts per request, including the first. @default 3 */
  maxAttempts?: number;
}

/** Next hop of a request: an owned target, or a peer entry that forwards it. */
interface Upstream {
  name: string;
  reason: string;
  /** False for another entry that forwards the request. */
  isTarget: boolean;
  send(request: TargetRequest, sink: ResponseSink): Promise<TargetResult>;
}

/** A call that has not ended, with the resolver of its promise. */
interface PendingCall {
  call: ServiceCall;
  resolve(end: ServiceCallEnd): void;
}

/** Interval in ms between searches for calls whose deadline has passed. */
const EXPIRY_INTERVAL_MS = 25;

/** Maximum number of concurrent reservations at peers per service. */
const MAX_PENDING_RESERVATIONS = 16;

/**
 * Dispatches waiting requests to free slots of owned targets or of peers, and
 * retries failed attempts.
 */
export class ServiceRouter {
  private readonly calls = new Map<string, PendingCall>();
  private readonly pendingReservations = new Map<string, number>();
  private readonly retryBudget = new RetryBudget();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: ServiceRouterOptions) {
    this.timer = setInterval(() => this.expire(), EXPIRY_INTERVAL_MS);
  }

  /** The calls that have not ended. */
  get openCalls(): ServiceCall[] {
    return [...this.calls.values()].map(({call}) => call);
  }

  /**
   * Submits a call for admission; resolves when it has ended. Never rejects.
   */
  submit(call: ServiceCall): Promise<ServiceCallEnd> {
    const {admission, fleet} = this.options;
    if (!fleet.hasTargets(call.service)) {
      return Promise.resolve({
        code: ResultCodes.NO_TARGET,
        text: `Cannot route request: no target of service "${call.service}" is known`,
      });
    }
    const result = admission.offer(call.options.waiting);
    if (!result.admitted) {
      this.recordDecision('admit', call, {
        reason: result.reason,
        code: result.code,
      });
      return Promise.resolve({
        code: result.code,
        text: `Cannot admit request: ${result.reason}`,
        retryAfterMs: result.retryAfterMs,
      });
    }
    call.apply('admitted');
    this.retryBudget.recordRequest();
    return new Promise((resolve) => {
      this.calls.set(call.requestId, {call, resolve});
      call.options.signal.addEventListener('abort', () => this.abandon(call));
      if (call.options.signal.aborted) this.abandon(call);
      const {acquireClaim} = call.options;
      if (acquireClaim) void this.awaitClaim(call, acquireClaim);
      this.dispatch(call.service);
    });
  }

  /** Dispatches waiting requests of all services while slots are free. */
  dispatchAll(): void {
    const services = new Set<string>();
    for (const {call} of this.calls.values()) services.add(call.service);
    for (const service of services) this.dispatch(service);
  }

  /** Dispatches waiting requests of a service while slots are free. */
  dispatch(service: string): void {
    for (;;) {
      const loads = this.options.fleet.loads(service);
      const isFree = loads.some((load) => load.isAvailable);
      const call = isFree ? this.takeNext(service) : undefined;
      const choice = call && this.choose(call, loads);
      const lease =
        choice && this.options.fleet.acquireSlot(choice.target, call.requestId);
      if (!lease) {
        if (call) this.requeue(call);
        this.reserveSlots(service);
        return;
      }
      void this.run(call, {
        name: choice.target,
        reason: choice.reason,
        isTarget: true,
        send: (request, sink) => lease.send(request, sink),
      });
    }
  }

  /** Ends the calls that are not being sent, for an immediate stop. */
  refuseWaiting(result: CallerResult): void {
    for (const {call} of [...this.calls.values()]) {
      if (call.state === 'sent') continue;
      this.options.admission.cancel(call.requestId);
      this.end(call, result);
    }
  }

  /** Stops the periodic search for passed deadlines. */
  stop(): void {
    clearInterval(this.timer);
  }

  private choose(
    call: ServiceCall,
    loads: readonly TargetLoad[],
  ): RoutingChoice | undefined {
    const {urgency} = call.options.waiting;
    const {attempted} = call;
    const routing = this.options.routingOf(call.service);
    const untried = routing.choose(loads, {urgency, attempted});
    if (untried || attempted.size === 0) return untried;
    return routing.choose(loads, {urgency, attempted: new Set()});
  }

  /**
   * Requests slots from peers, at most one for each waiting request. A slot is
   * not assigned to a request until it is granted: a request that waited for
   * the reply would miss local slots that become free, and less urgent requests
   * would get them.
   */
  private reserveSlots(service: string): void {
    const {peers, admission} = this.options;
    for (;;) {
      const reserving = this.pendingReservations.get(service) ?? 0;
      const waiting = admission.waitingCount(service);
      if (reserving >= Math.min(MAX_PENDING_RESERVATIONS, waiting)) return;
      if (!peers.mayHaveSlot(service)) return;
      const call = this.takeNext(service);
      if (!call) return;
      this.requeue(call);
      this.pendingReservations.set(service, reserving + 1);
      void this.reserve(call.options.waiting);
    }
  }

  private takeNext(service: string): ServiceCall | undefined {
    for (;;) {
      const waiting = this.options.admission.dequeue(service);
      if (!waiting) return undefined;
      const pending = this.calls.get(waiting.requestId);
      if (!pending) continue;
      if (pending.call.maySend) return pending.call;
      // The call occupies no slot while its claim is pending.
      pending.call.isParked = true;
    }
  }

  /** Allows a call to be sent once its claim is granted; otherwise ends it. */
  private async awaitClaim(
    call: ServiceCall,
    acquireClaim: () => Promise<boolean>,
  ): Promise<void> {
    call.maySend = await acquireClaim();
    if (call.hasEnded) return;
    if (!call.maySend) {
      this.options.admission.cancel(call.requestId);
      const text = 'the idempotency key could not be claimed for this request';
      this.end(call, {code: ResultCodes.KEY_IN_USE, text});
    } else if (call.isParked) {
      this.requeue(call);
      this.dispatch(call.service);
    }
  }

  /** Returns a call to admission, which decides again when it is its turn. */
  private requeue(call: ServiceCall): void {
    this.options.admission.requeue(call.options.waiting);
  }

  private async reserve(first: WaitingRequest): Promise<void> {
    const {peers, clock} = this.options;
    const {service, customer, urgency, deadlineMs} = first;
    const remainingMs = Math.max(1, deadlineMs - clock.nowMs());
    const slotRequest = {service, customer, urgency, remainingMs};
    const grant = await peers.reserve(slotRequest);
    this.pendingReservations.set(
      service,
      (this.pendingReservations.get(service) ?? 1) - 1,
    );
    const call = grant && this.takeNext(service);
    if (!call) {
      if (grant) peers.release(grant);
      this.dispatch(service);
      return;
    }
    await this.run(call, {
      name: grant.member,
      reason: 'own targets are full; slot reserved at a peer entry',
      isTarget: false,
      send: (request, sink) => peers.send(grant, request, sink),
    });
  }

  private async run(call: ServiceCall, upstream: Upstream): Promise<void> {
    const {clock} = this.options;
    const {waiting, method, path, body, callerResponse, signal} = call.options;
    const remainingMs = waiting.deadlineMs - clock.nowMs();
    call.apply('send');
    call.attempts += 1;
    call.attempted.add(upstream.name);
    this.recordDecision('route', call, {
      chosen: upstream.name,
      reason: upstream.reason,
    });
    const startMs = clock.nowMs();
    const result = await upstream.send(
      {
        method,
        path,
        headers: {
          ...call.options.headers,
          [REQUEST_ID_HEADER]: call.requestId,
          [TIMEOUT_HEADER]: String(Math.max(1, Math.floor(remainingMs))),
        },
        body: body.open(),
        remainingMs: Math.max(1, remainingMs),
        signal,
      },
      callerResponse,
    );
    const latencyMs = clock.nowMs() - startMs;
    if (upstream.isTarget) {
      this.recordRoutingResult(
        call,
        {target: upstream.name, latencyMs},
        result,
      );
    }
    this.handleResult(call, result, latencyMs);
    this.dispatch(call.service);
  }

  private handleResult(
    call: ServiceCall,
    result: TargetResult,
    latencyMs: number,
  ): void {
    if (call.hasEnded) return;
    if (result.kind === TargetResultKind.ANSWERED) {
      const response = call.options.callerResponse.complete();
      const {status} = result;
      const code = ResultCodes.OK;
      this.end(call, {code, text: 'answered', status, response}, latencyMs);
      return;
    }
    if (result.kind === TargetResultKind.LOST) call.mayHaveRun = true;
    if (this.mayRetry(call, result)) {
      call.options.callerResponse.reset();
      call.apply('wait');
      this.requeue(call);
      return;
    }
    this.end(call, resultOfAttempt(result, call.mayHaveRun));
  }

  private recordRoutingResult(
    call: ServiceCall,
    measured: {target: string; latencyMs: number},
    result: TargetResult,
  ): void {
    this.options.routingOf(call.service).recordResult({
      ...measured,
      succeeded: result.kind === TargetResultKind.ANSWERED,
      urgency: call.options.waiting.urgency,
    });
  }

  private mayRetry(call: ServiceCall, result: TargetResult): boolean {
    const {waiting, isIdempotent, body, callerResponse, signal} = call.options;
    const isProvablyUnprocessed = result.kind !== TargetResultKind.LOST;
    const {maxAttempts = 3, clock} = this.options;
    return (
      (isIdempotent || isProvablyUnprocessed) &&
      call.attempts < maxAttempts &&
      !callerResponse.hasSentBytes &&
      !signal.aborted &&
      body.canOpen &&
      clock.nowMs() < waiting.deadlineMs &&
      // A refusal before the start costs the target no work, and a target that
      // starts leaving refuses requests on all its slots at once. So the retry
      // budget applies only to attempts that may have run.
      (isProvablyUnprocessed || this.retryBudget.tryAcquire())
    );
  }

  private expire(): void {
    const {admission, clock} = this.options;
    const nowMs = clock.nowMs();
    const expired = admission.removeExpired().map(({requestId}) => requestId);
    for (const {call} of this.calls.values()) {
      const isWaiting = call.state === 'waiting';
      if (isWaiting && call.options.waiting.deadlineMs <= nowMs) {
        expired.push(call.requestId);
      }
    }
    for (const requestId of new Set(expired)) {
      const pending = this.calls.get(requestId);
      if (!pending) continue;
      admission.cancel(requestId);
      const code = pending.call.mayHaveRun
        ? ResultCodes.TIMED_OUT
        : ResultCodes.DEADLINE_PASSED_IN_QUEUE;
      const text =
        'Cannot serve request: the deadline passed while it was queued';
      this.end(pending.call, {code, text});
    }
    if (this.calls.size > 0) this.dispatchAll();
  }

  private abandon(call: ServiceCall): void {
    if (call.state !== 'waiting') return;
    this.options.admission.cancel(call.requestId);
    const code = call.mayHaveRun
      ? ResultCodes.ANSWER_LOST
      : ResultCodes.DEADLINE_PASSED_IN_QUEUE;
    this.end(call, {code, text: 'the caller closed its connection'});
  }

  /** @param runTimeMs - Undefined if the request did not run to its end. */
  private end(
    call: ServiceCall,
    end: ServiceCallEnd,
    runTimeMs?: number,
  ): void {
    if (!call.apply('end')) return;
    this.options.admission.recordCompletion(call.options.waiting, runTimeMs);
    const pending = this.calls.get(call.requestId);
    this.calls.delete(call.requestId);
    if (end.code !== ResultCodes.OK) {
      this.recordDecision('end', call, {
        reason: end.text,
        code: end.code,
      });
    }
    pending?.resolve(end);
  }

  private recordDecision(
    kind: string,
    call: ServiceCall,
    decision: {chosen?: string; reason: string; code?: ResultCode},
  ): void {
    const {service, customer, caller, urgency} = call.options.waiting;
    this.options.decisions.record({
      kind,
      subject: call.requestId,
      ...decision,
      facts: {service, customer, caller, urgency, attempt: call.attempts},
    });
  }
}
