import {randomUUID} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';

import {z} from 'zod';

import {PeerNetwork} from '../links/peer_network.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {RoutingPolicy} from '../routing/routing_policy.js';
import {TargetResult, TargetResultKind} from '../targets/target_client.js';
import {SlotLease, TargetFleet} from '../targets/target_fleet.js';
import {CallerResponse} from './caller_response.js';
import {requestHeaders} from './http_headers.js';
import {
  RELEASE_MESSAGE,
  RESERVE_REQUEST,
  RESERVED_PATH,
} from './peer_slot_client.js';
import {resultOfAttempt} from './result_of_attempt.js';
import {REQUEST_ID_HEADER, TIMEOUT_HEADER} from './result_headers.js';

/** Options of {@link ReservationServer}. */
export interface ReservationServerOptions {
  network: Pick<PeerNetwork, 'onRequest' | 'onMessage'>;
  fleet: TargetFleet;
  /** Returns the routing policy of a service. */
  routingOf: (service: string) => RoutingPolicy;
  /** Returns the number of requests waiting here, which have precedence. */
  waitingCount: (service: string) => number;
  /** Time in ms after which an unused reservation expires. @default 1000 */
  holdMs?: number;
}

interface Reservation {
  lease: SlotLease;
  timer: NodeJS.Timeout;
}

const reservationRequestSchema = z.object({
  service: z.string(),
  customer: z.string(),
  urgency: z.enum(['urgent', 'standard', 'batch']),
  remainingMs: z.number(),
});

const releaseSchema = z.object({reservation: z.string()});

/**
 * Reserves slots of owned targets for other entries, and forwards their
 * requests to the targets.
 */
export class ReservationServer {
  private readonly reservations = new Map<string, Reservation>();
  private forwardingCount = 0;

  constructor(private readonly options: ReservationServerOptions) {
    options.network.onRequest(RESERVE_REQUEST, (body) =>
      Promise.resolve(this.reserve(body)),
    );
    options.network.onMessage(RELEASE_MESSAGE, (body) => {
      const message = releaseSchema.safeParse(body);
      if (message.success) this.remove(message.data.reservation)?.release();
    });
  }

  /**
   * Number of requests of other entries in flight, plus unused reservations.
   */
  get inFlight(): number {
    return this.forwardingCount + this.reservations.size;
  }

  /** Handles a request under {@link RESERVED_PATH}. */
  async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {id, path} = splitPath(message.url ?? '');
    const requestId = String(message.headers[REQUEST_ID_HEADER] ?? id);
    const callerResponse = new CallerResponse(response, {
      requestId,
      bufferLimit: 0,
    });
    const lease = this.remove(id);
    if (!lease) {
      message.resume();
      const text = `Cannot forward request: reservation "${id}" has expired`;
      callerResponse.fail({code: ResultCodes.TARGET_REFUSED, text});
      return;
    }
    this.forwardingCount += 1;
    try {
      const result = await this.forward(
        {message, response, callerResponse},
        lease,
        path,
      );
      if (result.kind === TargetResultKind.ANSWERED) callerResponse.complete();
      else callerResponse.fail(resultOfAttempt(result, false));
    } finally {
      this.forwardingCount -= 1;
    }
  }

  private async forward(
    call: {
      message: IncomingMessage;
      response: ServerResponse;
      callerResponse: CallerResponse;
    },
    lease: SlotLease,
    path: string,
  ): Promise<TargetResult> {
    const {message, response, callerResponse} = call;
    const {headers} = message;
    const disconnected = new AbortController();
    response.on('close', () => disconnected.abort());
    const length = headers['content-length'];
    const hasBody = length !== undefined || headers['transfer-encoding'];
    return lease.send(
      {
        method: message.method ?? 'GET',
        path,
        headers: {
          ...requestHeaders(headers),
          ...(length === undefined ? {} : {'content-length': length}),
          [REQUEST_ID_HEADER]: String(headers[REQUEST_ID_HEADER]),
          [TIMEOUT_HEADER]: String(headers[TIMEOUT_HEADER]),
        },
        body: hasBody ? message : undefined,
        remainingMs: Math.max(1, Number(headers[TIMEOUT_HEADER]) || 1),
        signal: disconnected.signal,
      },
      callerResponse,
    );
  }

  private reserve(body: unknown): {reservation?: string} {
    const {fleet, routingOf, waitingCount, holdMs = 1000} = this.options;
    const request = reservationRequestSchema.parse(body);
    if (waitingCount(request.service) > 0) return {};
    const choice = routingOf(request.service).choose(
      fleet.loads(request.service),
      {
        urgency: request.urgency,
        attempted: new Set(),
      },
    );
    const id = randomUUID();
    const lease = choice && fleet.acquireSlot(choice.target, id);
    if (!lease) return {};
    const timer = setTimeout(() => this.remove(id)?.release(), holdMs);
    this.reservations.set(id, {lease, timer});
    return {reservation: id};
  }

  /** Removes a reservation, so that it can be used only once. */
  private remove(id: string): SlotLease | undefined {
    const reservation = this.reservations.get(id);
    if (!reservation) return undefined;
    this.reservations.delete(id);
    clearTimeout(reservation.timer);
    return reservation.lease;
  }
}

function splitPath(url: string): {id: string; path: string} {
  const rest = url.slice(RESERVED_PATH.length);
  const slash = rest.indexOf('/');
  return slash < 0
    ? {id: rest, path: '/'}
    : {id: rest.slice(0, slash), path: rest.slice(slash)};
}
