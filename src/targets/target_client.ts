import {Readable} from 'node:stream';

import {TargetStatus} from './target_status.js';

/** Headers of a response; names are in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** A request that is sent to a target. */
export interface TargetRequest {
  method: string;
  /** Path with query; starts with "/". */
  path: string;
  headers: Record<string, string | string[]>;
  /** Complete body, or a stream that can be sent once. @default none */
  body?: Buffer | Readable;
  /** Time in ms until the deadline. */
  remainingMs: number;
  /**
   * Abandons the request, for example if its caller disconnects.
   * @default none
   */
  signal?: AbortSignal;
}

/** How a request to a target ended. */
export const TargetResultKind = {
  /** The target refused the request before starting it. */
  REFUSED: 'refused',
  /** No byte of the request was sent. */
  NOT_SENT: 'not-sent',
  /** The complete response was received. */
  ANSWERED: 'answered',
  /** Bytes were sent, but no complete response was received. */
  LOST: 'lost',
} as const;

/** Result of a request; exactly one is reported for each request. */
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
       * Resolves to true once the request has ended at the target, or to false
       * once its end can no longer be detected. @default undetectable
       */
      ended?: Promise<boolean>;
    };

/** Receives a response as it is read. */
export interface ResponseSink {
  /** Called with the status and headers, unless the request was refused. */
  begin(status: number, headers: ResponseHeaders): void;
  /** Writes bytes of the body; returns false to pause until drained. */
  write(chunk: Buffer): boolean;
  /** Registers a listener that is called when the sink has drained. */
  onDrain(listener: () => void): void;
}

/** Sends requests to one target and reads its status. */
export interface TargetClient {
  /** Number of requests that can be sent now within the connection limits. */
  availableCount(): number;
  /** Sends a request under an epoch. Never rejects. */
  send(
    request: TargetRequest,
    sink: ResponseSink,
    epoch: number,
  ): Promise<TargetResult>;
  /**
   * Reads the target's status. The probe also announces the epoch to the
   * target.
   *
   * @throws Error if no valid status is received in time. Its message contains
   *     "ECONNREFUSED" if the target refused the connection.
   */
  probe(epoch: number): Promise<TargetStatus>;
  /** Closes all connections. */
  stop(): Promise<void>;
}
