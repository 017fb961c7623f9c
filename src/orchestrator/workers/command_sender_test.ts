import assert from 'node:assert/strict';
import {test} from 'node:test';

import {silentLog} from '../../../testing/silent_log.js';
import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {ManualClock} from '../../clock/manual_clock.js';
import {OwnerTerm} from '../../leadership/owner_term.js';
import {CommandSender} from './command_sender.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {CommandOutcome, StartCommand, WorkerPort} from './worker_port.js';
import {WorkerState} from './worker_state.js';

interface Fixture {
  sender: CommandSender;
  task: TaskState;
  worker: WorkerState;
  term: Pick<OwnerTerm, 'isOver' | 'token' | 'renewIfDue'> & {
    isLeaseValid: boolean;
  };
  sent: StartCommand[];
  outcomes: CommandOutcome[];
}

function createFixture(): Fixture {
  const term = {
    isOver: false,
    isLeaseValid: true,
    token: 3,
    renewIfDue: () => undefined,
  };
  const sent: StartCommand[] = [];
  const outcomes: CommandOutcome[] = [];
  const port = {
    start: (command: StartCommand): Promise<CommandOutcome> => {
      sent.push(command);
      return Promise.resolve({kind: 'done'});
    },
  } as unknown as WorkerPort;
  const sender = new CommandSender({
    clock: new ManualClock(),
    log: silentLog(),
    term: term as unknown as OwnerTerm,
    port,
    longestLeaseMs: 6000,
    onStart: (_task, _run, outcome) => outcomes.push(outcome),
    onStop: () => undefined,
  });
  const job = new JobState(simpleJob('job'), 0);
  job.createDueOccurrences(0);
  const [task] = [...job.tasks()];
  const worker = new WorkerState(simpleWorker('w'));
  worker.recordClock(1000, 0);
  return {sender, task: task!, worker, term, sent, outcomes};
}

test('a start is sent while the lease of the term is valid', async () => {
  const {sender, task, worker, sent, outcomes} = createFixture();
  await sender.start(task, worker);
  assert.equal(sent.length, 1);
  assert.deepEqual(outcomes, [{kind: 'done'}]);
});

test('the permission of a start ends with the lease of the term', async () => {
  // Guards against a start that waits for a connection while the process is
  // suspended, and is sent after the pause.
  const {sender, task, worker, term, sent} = createFixture();
  await sender.start(task, worker);
  assert.equal(sent[0]!.isPermitted?.(), true);
  term.isLeaseValid = false;
  assert.equal(sent[0]!.isPermitted?.(), false);
});

test('an owner that was paused beyond its lease starts nothing', async () => {
  // A commit succeeds, the process is suspended, and its successor waits for
  // the leases that this owner can have granted. Guards against a start after
  // the pause, which would grant a later lease than the successor waits for.
  const {sender, task, worker, term, sent, outcomes} = createFixture();
  const leaseEndsMs = worker.leaseEndsMs;
  term.isLeaseValid = false;
  await sender.start(task, worker);
  assert.deepEqual(sent, []);
  assert.equal(worker.leaseEndsMs, leaseEndsMs);
  assert.equal(outcomes[0]?.kind, 'refused');
});
