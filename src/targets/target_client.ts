import {Readable} from 'node:stream';

import {TargetStatus} from './target_status.js';

/** Headers of an answer, names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** A request that is sent to a target. */
export interface TargetRequest {
  method: string;
  /** Path with query; starts with "/". */
  path: string;
  headers: Record<string, string | string[]>;
  /** Whole body, or a stream that can be sent once. @default none */
  body?: Buffer | Readable;
  /** Time in ms after which the answer is useless. */
  remainingMs: number;
  /** Gives the request up, for example because its caller left. @default none */
  signal?: AbortSignal;
}

/** How a request to a target ended. */
export const TargetResultKind = {
  /** The target refused before it started the work. */
  REFUSED: 'refused',
  /** Not one byte was sent. */
  NOT_SENT: 'not-sent',
  /** The whole answer arrived. */
  ANSWERED: 'answered',
  /** Bytes were sent and the whole answer did not arrive. */
  LOST: 'lost',
} as const;

/** Exactly one of these is reported for each request. */
export type TargetResult =
  | {kind: typeof TargetResultKind.REFUSED; reason: string}
  | {kind: typeof TargetResultKind.NOT_SENT; reason: string}
  | {kind: typeof TargetResultKind.ANSWERED; status: number}
  | {
      kind: typeof TargetResultKind.LOST;
      reason: string;
      /** True if the deadline passed, false if the connection failed. */
      isTimeout: boolean;
      /**
       * Settles later, when the request has ended at the target (true) or can
       * not be followed any more (false). @default can't be followed
       */
      ended?: Promise<boolean>;
    };

/** Receives an answer while it arrives. */
export interface ResponseSink {
  /** Called once with the head of an answer that is not a refusal. */
  begin(status: number, headers: ResponseHeaders): void;
  /** Takes bytes of the body; false asks to pause until `onDrain` calls. */
  write(chunk: Buffer): boolean;
  /** Registers what is called when the sink takes bytes again. */
  onDrain(listener: () => void): void;
}

/** Sends requests to one target and reads its status. */
export interface TargetClient {
  /** Requests that can be sent now without exceeding connection limits. */
  availableCount(): number;
  /** Sends a request; never rejects. */
  send(
    request: TargetRequest,
    sink: ResponseSink,
    epoch: number,
  ): Promise<TargetResult>;
  /**
   * Reads the target's status, which also tells it the epoch.
   *
   * @throws Error if no valid status arrives in time; `code` ECONNREFUSED if
   *     the target refused the connection.
   */
  probe(epoch: number): Promise<TargetStatus>;
  /** Closes all connections. */
  stop(): Promise<void>;
}
