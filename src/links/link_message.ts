/** Identity of a process, as sent to its peers. */
export interface LinkIdentity {
  /** Name of the member; unchanged by restarts. */
  member: string;
  /** Unique ID of this start of the process. */
  incarnation: string;
  /** Role of the process: 'entry' or 'scheduler'. */
  role: string;
  /** Data centre of the process. */
  dataCentre: string;
  /** Cores of the VM, in units of a standard core. @default unknown */
  processors?: number;
}

/** First frame on a link, sent by both sides for authentication. */
export interface HelloFrame extends LinkIdentity {
  type: 'hello';
  /** Version of the link protocol; see {@link LINK_PROTOCOL_VERSION}. */
  version: number;
  /** Shared secret; both sides must send the same one. */
  token: string;
}

/** One-way message without an answer. */
export interface OneWayFrame {
  type: 'message';
  name: string;
  body: unknown;
}

/** Request; the answer carries the same id. */
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

/** Keep-alive probe ('ping') and its reply ('pong'). */
export interface PingFrame {
  type: 'ping' | 'pong';
}

/** Any frame on a link. */
export type LinkFrame =
  HelloFrame | OneWayFrame | RequestFrame | AnswerFrame | PingFrame;

/** Protocol version; a link to a process with another version is refused. */
export const LINK_PROTOCOL_VERSION = 1;
