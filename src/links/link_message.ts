/** Who is at the other end of a link. */
export interface LinkIdentity {
  /** Name of the member; stays the same over restarts. */
  member: string;
  /** Differs for each start of the process. */
  incarnation: string;
  /** Role of the process: 'entry' or 'scheduler'. */
  role: string;
  /** Data centre of the process. */
  dataCentre: string;
  /** Processors of its VM in cores of ordinary speed. @default unknown */
  processors?: number;
}

/** First frame on a link, sent by both sides. */
export interface HelloFrame extends LinkIdentity {
  type: 'hello';
  /** Version of the link protocol. */
  version: number;
  /** Secret that all processes of the installation share. */
  token: string;
}

/** Message that expects no answer. */
export interface OneWayFrame {
  type: 'message';
  name: string;
  body: unknown;
}

/** Message that expects an answer with the same id. */
export interface RequestFrame {
  type: 'request';
  id: number;
  name: string;
  body: unknown;
}

/** Answer to a {@link RequestFrame}. */
export interface AnswerFrame {
  type: 'answer';
  id: number;
  body?: unknown;
  error?: {number: number; text: string; retryAfterMs?: number};
}

/** Checks that the other side still reads and writes. */
export interface PingFrame {
  type: 'ping' | 'pong';
}

/** Any frame on a link. */
export type LinkFrame =
  HelloFrame | OneWayFrame | RequestFrame | AnswerFrame | PingFrame;

/** Version that both sides of a link must have. */
export const LINK_PROTOCOL_VERSION = 1;
