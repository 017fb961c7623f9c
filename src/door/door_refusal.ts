/** Reasons for which the door refuses a request or closes a connection. */
export const DoorRefusal = {
  /** The connection was quiet for the longest while there were too many. */
  QUIET_CONNECTION: 'quiet-connection',
  /** All connections are in service. */
  CONNECTIONS_IN_SERVICE: 'connections-in-service',
  /** Too many requests without a response on one connection. */
  SENT_AHEAD: 'sent-ahead',
  /** Too many requests are in service. */
  IN_SERVICE: 'in-service',
  /** The body was not complete when others needed its memory. */
  INCOMPLETE_BODY: 'incomplete-body',
  /** No memory is left for the body. */
  HELD_BYTES: 'held-bytes',
  BODY_TOO_LARGE: 'body-too-large',
  /** The JSON text has too many values or is nested too deeply. */
  JSON_SHAPE: 'json-shape',
  /** The header section is malformed, too large or late. */
  BAD_HEAD: 'bad-head',
} as const;

/** One of the values of {@link DoorRefusal}. */
export type DoorRefusal = (typeof DoorRefusal)[keyof typeof DoorRefusal];

/** Records a refusal, for metrics and logs. */
export type RecordRefusal = (reason: DoorRefusal) => void;
