import {pino} from 'pino';

import {ManualClock} from '../src/clock/manual_clock.js';
import {NodeLog} from '../src/logging/node_log.js';

/** Creates a log that discards all entries; for tests. */
export function silentLog(): NodeLog {
  return new NodeLog({
    logger: pino({level: 'silent'}),
    clock: new ManualClock(),
  });
}
