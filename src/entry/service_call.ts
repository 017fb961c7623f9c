import {WaitingRequest} from '../admission/waiting_request.js';
import {loadStateChart} from '../state_charts/load_state_chart.js';
import {CallerResponse} from './caller_response.js';
import {RequestBody} from './request_body.js';

/** State of a service call; transitions are in service_call.json. */
export type ServiceCallState = 'offered' | 'waiting' | 'sent' | 'ended';

type ServiceCallEvent = 'admitted' | 'send' | 'wait' | 'end';

/** Options of {@link ServiceCall}. */
export interface ServiceCallOptions {
  waiting: WaitingRequest;
  method: string;
  /** Path at the target, including the query. */
  path: string;
  headers: Record<string, string | string[]>;
  body: RequestBody;
  callerResponse: CallerResponse;
  /** False if the request may run at most once. */
  isIdempotent: boolean;
  /** Aborted when the caller closes its connection. */
  signal: AbortSignal;
  /**
   * Called once the request is admitted; resolves to false if it must not be
   * sent. @default may be sent immediately
   */
  acquireClaim?: () => Promise<boolean>;
}

const chart = loadStateChart<ServiceCallState, ServiceCallEvent>(
  'service_call.json',
  import.meta.url,
);

/** A request to a service while this process handles it. */
export class ServiceCall {
  /** Names of the targets and members to which the request was sent. */
  readonly attempted = new Set<string>();
  attempts = 0;
  /** True once an attempt may have run, whatever the result of later ones. */
  mayHaveRun = false;
  /** True once the request may be sent. */
  maySend: boolean;
  /** True if it was dequeued before it may be sent, and waits for its claim. */
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

  /** Applies an event; returns false if the current state has no transition. */
  apply(event: ServiceCallEvent): boolean {
    const next = chart.next(this.currentState, event);
    if (next === undefined) return false;
    this.currentState = next;
    return true;
  }
}
