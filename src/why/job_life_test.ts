import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, test} from 'node:test';

import {describeJobLife, LifeEntry, LifeGap} from './job_life.js';
import {readJobLogLines} from './read_log_lines.js';

const JOB = '5c0e7a21d94b36f8';
const TASK = `${JOB}.0.0.0`;
const START_MS = Date.UTC(2026, 11, 4, 12);

const folder = mkdtempSync(join(tmpdir(), 'job-life-'));
after(() => rmSync(folder, {recursive: true}));

let fileCount = 0;

function writeLog(lines: readonly string[]): string {
  const file = join(folder, `${fileCount++}.log`);
  writeFileSync(file, `${lines.join('\n')}\n`);
  return file;
}

function line(
  node: string,
  seconds: number,
  msg: string,
  fields: object = {},
): string {
  const time = new Date(START_MS + seconds * 1000).toISOString();
  return JSON.stringify({level: 30, time, node, msg, ...fields});
}

async function lifeOf(...files: readonly string[]): Promise<LifeEntry[]> {
  const {lines} = await readJobLogLines(files, JOB);
  return describeJobLife(lines, JOB);
}

const eventsOf = (life: readonly LifeEntry[]): string[] =>
  life.map(({event}) => event);

test('lines of all nodes are listed in order, with the runs between them', async () => {
  // Guards against a life that shows one node only, or another job, and
  // against a loss of the worker that is not shown.
  const first = writeLog([
    line('n1', 0, 'accept', {job: JOB}),
    line('n1', 0.1, 'accept', {job: 'other'}),
  ]);
  const second = writeLog([
    line('n2', 0.2, 'place', {task: TASK, run: 1, worker: 'w1'}),
    line('n2', 2, 'worker-lost', {worker: 'w1'}),
    line('n2', 2.1, 'worker-lost', {worker: 'w2'}),
    line('n2', 6, 'run-ended', {task: TASK, run: 1, how: 'lease-ended'}),
    line('n2', 6.1, 'job-ended', {job: JOB, phase: 'failed'}),
  ]);
  const life = await lifeOf(second, first);
  assert.deepEqual(eventsOf(life), [
    'accept',
    'place',
    LifeGap.RUN,
    'worker-lost',
    LifeGap.RUN,
    'run-ended',
    'job-ended',
  ]);
  assert.match(life[2]!.text, /1\.8 s .* on w1/);
  assert.equal(life[5]!.text, `task=${TASK} run=1 how=lease-ended`);
});

test('a wait is listed with what else happened', async () => {
  // Guards against a wait of which the reader has to look for the cause.
  const loads = [1, 2, 3].map((seconds) =>
    line('n1', seconds, 'load', {waitingTasks: seconds * 100}),
  );
  const overload = await lifeOf(
    writeLog([
      line('n1', 0, 'accept', {job: JOB}),
      ...loads,
      line('n1', 4, 'place', {task: TASK, worker: 'w1'}),
      line('n1', 4.1, 'job-ended', {job: JOB}),
    ]),
  );
  assert.deepEqual(eventsOf(overload).slice(0, 2), ['accept', LifeGap.WAIT]);
  assert.match(overload[1]!.text, /4\.0 s up to 300 tasks waited/);
  const unowned = await lifeOf(
    writeLog([
      line('n1', 0, 'accept', {job: JOB}),
      line('n1', 1, 'load', {waitingTasks: 1}),
      line('n2', 5, 'load', {waitingTasks: 1}),
    ]),
  );
  assert.match(unowned[1]!.text, /no owner for 4\.0 s/);
});

test('a run whose end was left out is not listed for ever', async () => {
  // Guards against a wait that looks like a run, since the line about the end of
  // the run was over the budget of the log.
  const place = line('n1', 0, 'place', {task: TASK, worker: 'w1'});
  const ends = [
    line('n1', 1, 'worker-crashed', {worker: 'w1'}),
    line('n1', 1, 'job-waiting', {job: JOB, step: '0.0'}),
  ];
  for (const end of ends) {
    const load = line('n1', 3, 'load', {waitingTasks: 5});
    const life = await lifeOf(writeLog([place, end, load]));
    assert.equal(life.at(-1)?.event, LifeGap.WAIT);
  }
});

test('a place where lines were left out is marked', async () => {
  // Guards against a conclusion from lines that were never written.
  const life = await lifeOf(
    writeLog([
      line('n1', 0, 'accept', {job: JOB}),
      line('n1', 2, 'lines-omitted', {omitted: 40}),
      line('n1', 3, 'place', {task: TASK, worker: 'w1'}),
      line('n1', 3.2, 'run-done', {task: TASK, worker: 'w1'}),
      line('n1', 3.3, 'job-ended', {job: JOB}),
      line('n1', 3.4, 'run-ended', {task: TASK}),
      line('n1', 9, 'lines-omitted', {omitted: 7}),
    ]),
  );
  const missing = life.filter(({event}) => event === LifeGap.EVIDENCE_MISSING);
  assert.equal(missing.length, 1);
  assert.match(missing[0]!.text, /^up to 40 lines/);
});

test('text around the lines and unreadable lines do no harm', async () => {
  // Guards against logs of a collector, which adds a prefix, or a line that was
  // cut off when a process was killed.
  const file = writeLog([
    `12.5 n1: ${line('n1', 0, 'accept', {job: JOB})}`,
    line('n1', 1, 'place', {task: TASK}).slice(0, -4),
  ]);
  const {lines, unreadable} = await readJobLogLines([file], JOB);
  assert.equal(lines.length, 1);
  assert.equal(unreadable, 1);
});
