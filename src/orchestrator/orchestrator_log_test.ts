import assert from 'node:assert/strict';
import {test} from 'node:test';

import {pino} from 'pino';

import {applyPending} from '../../testing/apply_pending.js';
import {idleEffects} from '../../testing/idle_effects.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleWorker,
} from '../../testing/simple_definitions.js';
import {ManualClock} from '../clock/manual_clock.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {NodeLog} from '../logging/node_log.js';
import {JobState} from './job_state.js';
import {Orchestrator} from './orchestrator.js';
import {EndKind} from './worker_port.js';

interface Line {
  msg: string;
  runs?: number;
  failedRuns?: number;
  firstStartMs?: number;
}

test('the line about the end of a job tells what happened to its runs', () => {
  // The lines about single runs are left out at thousands of starts a second.
  // Guards against a late job that the log cannot explain.
  const lines: Line[] = [];
  const clock = new ManualClock({startMs: 0, wallStartMs: 0});
  const write = (text: string): void => {
    lines.push(JSON.parse(text) as Line);
  };
  const orchestrator = new Orchestrator({
    clock,
    log: new NodeLog({logger: pino({}, {write}), clock, linesPerSecond: 1000}),
    keys: new PartitionKeys('main'),
    longestLeaseMs: 6000,
    keepFinishedMs: 1000,
    previousTermLeaseMs: 0,
    effects: idleEffects(),
  });
  orchestrator.configure(simpleConfiguration());
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const report = (kind?: EndKind): void => {
    const [task] = [...worker.tasks];
    const sequence = worker.processedSequence + 1;
    const ended =
      task && kind
        ? [{sequence, task: task.name, run: task.run, kind, checkpoint: ''}]
        : [];
    const nowMs = clock.nowMs();
    const content = {clockMs: nowMs, bornMs: 1, running: [], ended};
    orchestrator.processReport(worker, content, nowMs);
  };
  const runPass = (): void => {
    orchestrator.schedule();
    applyPending(orchestrator.takePending());
  };
  orchestrator.addJob(new JobState(simpleJob('job'), 0));
  clock.advance(400);
  report();
  runPass();
  report(EndKind.FAILED);
  runPass();
  report(EndKind.DONE);
  const end = lines.find(({msg}) => msg === 'job-ended');
  assert.equal(end?.runs, 2);
  assert.equal(end?.failedRuns, 1);
  assert.equal(end?.firstStartMs, 400);
});
