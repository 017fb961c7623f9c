import assert from 'node:assert/strict';
import {test} from 'node:test';

import {applyPending} from '../../../testing/apply_pending.js';
import {idleEffects} from '../../../testing/idle_effects.js';
import {silentLog} from '../../../testing/silent_log.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {AdviceRequest} from '../workers/advice_port.js';
import {JobState} from '../jobs/job_state.js';
import {Orchestrator} from '../orchestrator.js';
import {RefusalReason} from '../workers/worker_port.js';

interface Start {
  task: string;
  worker: string;
  ticket: string | undefined;
}

class AdviceBench {
  readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  readonly requests: AdviceRequest[] = [];
  readonly starts: Start[] = [];
  readonly orchestrator: Orchestrator;

  constructor(workers: readonly string[]) {
    this.orchestrator = new Orchestrator({
      clock: this.clock,
      log: silentLog(),
      keys: new PartitionKeys('main'),
      longestLeaseMs: 6000,
      keepFinishedMs: 1000,
      previousTermLeaseMs: 0,
      effects: idleEffects({
        start: (task, worker) => {
          const {name, ticket} = task;
          this.starts.push({
            task: name,
            worker: worker.registration.id,
            ticket,
          });
        },
        requestAdvice: (question) => this.requests.push(question),
      }),
    });
    const configuration = simpleConfiguration();
    const queues = configuration.queues.map((queue) => ({
      ...queue,
      needsAdvice: true,
    }));
    this.orchestrator.configure({...configuration, queues});
    for (const id of workers) this.orchestrator.upsertWorker(simpleWorker(id));
    for (const worker of this.orchestrator.workers.values()) {
      const report = {clockMs: 1000, bornMs: 1, running: [], ended: []};
      this.orchestrator.processReport(worker, report, 0);
    }
  }

  /** Runs a scheduling pass, commits it and sends the start commands. */
  runPass(): void {
    this.orchestrator.schedule();
    applyPending(this.orchestrator.takePending());
  }

  /** Answers the latest advice request. */
  answerAdvice(tickets: Record<string, string>): void {
    const outcome = {
      kind: 'advice' as const,
      tickets: new Map(Object.entries(tickets)),
      validForMs: 3000,
    };
    this.orchestrator.handleAdvice(outcome, this.clock.nowMs());
  }
}

test('tasks that need advice start only on workers with a ticket', () => {
  // Guards against starts without a ticket, and against jobs of a queue with
  // `needsAdvice` that never run.
  const bench = new AdviceBench(['w1', 'w2', 'w3']);
  const steps = [simpleStep({taskCount: 4})];
  bench.orchestrator.addJob(new JobState(simpleJob('job', {steps}), 0));
  bench.runPass();
  assert.deepEqual(bench.starts, []);
  assert.equal(bench.requests[0]?.step, 'job.0.0');
  assert.deepEqual([...bench.requests[0].workers].sort(), ['w1', 'w2', 'w3']);
  bench.answerAdvice({w2: 'ticket'});
  bench.runPass();
  assert.equal(bench.starts.length, 4);
  for (const {worker, ticket} of bench.starts) {
    assert.equal(worker, 'w2');
    assert.equal(ticket, 'ticket');
  }
});

test('a ticket that a worker rejects is requested again', () => {
  // Guards against a task that is started repeatedly with a rejected ticket.
  const bench = new AdviceBench(['w1']);
  const job = new JobState(simpleJob('job'), 0);
  bench.orchestrator.addJob(job);
  bench.runPass();
  bench.answerAdvice({w1: 'old'});
  bench.runPass();
  const [task] = job.tasks();
  const reason = RefusalReason.TICKET;
  bench.orchestrator.handleStartOutcome(task!, 1, {kind: 'refused', reason});
  bench.runPass();
  assert.equal(bench.requests.length, 2);
  bench.answerAdvice({w1: 'new'});
  bench.runPass();
  assert.deepEqual(
    bench.starts.map(({ticket}) => ticket),
    ['old', 'new'],
  );
});
