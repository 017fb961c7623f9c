import assert from 'node:assert/strict';
import {test} from 'node:test';

import {pino} from 'pino';

import {ManualClock} from '../clock/manual_clock.js';
import {NodeLog} from './node_log.js';

interface Line {
  msg: string;
  omitted?: number;
}

function createLog(linesPerSecond: number): {
  log: NodeLog;
  clock: ManualClock;
  lines: Line[];
} {
  const lines: Line[] = [];
  const write = (text: string): void => {
    lines.push(JSON.parse(text) as Line);
  };
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const log = new NodeLog({logger: pino({}, {write}), clock, linesPerSecond});
  return {log, clock, lines};
}

test('lines over the rate limit are dropped and their count is logged', () => {
  // Guards against log volume that grows with the load, and against lines that
  // are dropped without notice.
  const {log, clock, lines} = createLog(3);
  for (let number = 0; number < 10; number++) log.logDecision('place');
  assert.equal(lines.length, 3);
  clock.advance(1000);
  log.logDecision('place');
  assert.equal(lines.find(({msg}) => msg === 'lines-omitted')?.omitted, 7);
});

test('a summary is written when the rate limit is exhausted', () => {
  // Guards against overload periods of which the log has no record.
  const {log, lines} = createLog(1);
  log.logDecision('place');
  log.logDecision('place');
  log.logSummary('load', {waitingTasks: 7});
  assert.deepEqual(
    lines.map(({msg}) => msg),
    ['place', 'load'],
  );
});

test('details of tasks do not displace lines about jobs', () => {
  // A busy owner places thousands of tasks a second. Guards against a refused
  // or late job of which the log has no line.
  const {log, lines} = createLog(10);
  for (let number = 0; number < 100; number++) log.logDetail('place', {});
  log.logDecision('job-ended');
  assert.equal(lines.length, 7);
  assert.equal(lines.at(-1)?.msg, 'job-ended');
});
