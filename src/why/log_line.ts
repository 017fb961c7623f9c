/** A line of the log of a node, with the fields that all lines have. */
export interface LogLine {
  /** Unix time in ms. */
  timeMs: number;
  /** Node that wrote it. */
  node: string;
  /** Name of the event. */
  event: string;
  /** All fields. */
  fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line of a log; text before the JSON object is left out.
 *
 * @returns Undefined if the line is not a line of the log.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
  const {time, node, msg} = fields;
  const timeMs = typeof time === 'string' ? Date.parse(time) : Number(time);
  if (!Number.isFinite(timeMs) || typeof msg !== 'string') return undefined;
  return {
    timeMs,
    node: typeof node === 'string' ? node : '',
    event: msg,
    fields,
  };
}
