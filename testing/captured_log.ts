import {pino} from 'pino';

import {Clock} from '../src/clock/clock.js';
import {NodeLog} from '../src/logging/node_log.js';

/** A log line as it was written. */
export type CapturedLine = Record<string, unknown> & {msg: string};

/** Creates a log without a rate limit, and the lines written to it so far. */
export function createCapturedLog(clock: Clock): {
  log: NodeLog;
  lines: readonly CapturedLine[];
} {
  const lines: CapturedLine[] = [];
  const write = (text: string): void => {
    lines.push(JSON.parse(text) as CapturedLine);
  };
  const logger = pino({}, {write});
  return {log: new NodeLog({logger, clock, linesPerSecond: Infinity}), lines};
}
