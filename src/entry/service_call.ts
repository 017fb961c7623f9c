import {WaitingRequest} from '../admission/waiting_request.js';
import {loadStateChart} from '../state_charts/load_state_chart.js';
import {CallerResponse} from './caller_response.js';
import {RequestBody} from './request_body.js';

/** Life cycle of a request; see service_call.json. */
export type ServiceCallState = 'offered' | 'waiting' | 'sent' | 'ended';

type ServiceCallEvent = 'admitted' | 'send' | 'wait' | 'end';

/** What the caller asked for. */
export interface ServiceCallOptions {
  waiting: WaitingRequest;
  method: string;
  /** Path at the target with query. */
  path: string;
  headers: Record<string, string | string[]>;
  body: RequestBody;
  callerResponse: CallerResponse;
  /** False if the request may run at most once. */
  isIdempotent: boolean;
  /** Aborted when the caller closes its connection. */
  signal: AbortSignal;
  /**
   * Asked once the request is admitted; false if it must not be sent.
   * @default may be sent at once
   */
  acquireClaim?: () => Promise<boolean>;
}

const chart = loadStateChart<ServiceCallState, ServiceCallEvent>(
  'service_call.json',
  import.meta.url,
);

/** A request on its way through this process. */
export class ServiceCall {
  /** Targets and members that were tried. */
  readonly attempted = new Set<string>();
  attempts = 0;
  /** True once an attempt may have run, whatever later ones tell. */
  mayHaveRun = false;
  /** True once the request may be sent. */
  maySend: boolean;
  /** True if it was taken from admission before it may be sent. */
  isParked = false;
  private currentState: ServiceCallState = chart.initial;

  constructor(readonly options: ServiceCallOptions) {
    this.maySend = options.acquireClaim === undefined;
  }

  get requestId(): string {
    return this.options.waiting.requestId;
  }

  get service(): string {
    return this.options.waiting.service;
  }

  get state(): ServiceCallState {
    return this.currentState;
  }

  get hasEnded(): boolean {
    return chart.isFinal(this.currentState);
  }

  /** Applies an event; false if it has no effect in the current state. */
  apply(event: ServiceCallEvent): boolean {
    const next = chart.next(this.currentState, event);
    if (next === undefined) return false;
    this.currentState = next;
    return true;
  }
}
