import assert from 'node:assert/strict';
import {test} from 'node:test';

import {idleEffects} from '../../../testing/idle_effects.js';
import {MemoryStore} from '../../../testing/memory_store.js';
import {silentLog} from '../../../testing/silent_log.js';
import {simpleWorker} from '../../../testing/simple_definitions.js';
import {SystemClock} from '../../clock/system_clock.js';
import {OwnerTerm} from '../../leadership/owner_term.js';
import {PartitionKeys} from '../../leadership/partition_keys.js';
import {Orchestrator} from '../orchestrator.js';
import {PollCommand, PollOutcome, WorkerPort} from './worker_port.js';
import {WorkerSession} from './worker_session.js';

const report: PollOutcome = {
  kind: 'report',
  report: {clockMs: 5000, bornMs: 1, running: [], ended: []},
};

interface Fixture {
  session: WorkerSession;
  orchestrator: Orchestrator;
  term: OwnerTerm;
  polls: PollCommand[];
  /** Times in ms of the polls. */
  pollTimesMs: number[];
}

/** Creates a session that stops after it has received all outcomes. */
async function createSession(
  outcomes: ReadonlyArray<PollOutcome | undefined>,
  {isBehind = false} = {},
): Promise<Fixture> {
  const clock = new SystemClock();
  const log = silentLog();
  const store = new MemoryStore();
  const {lease} = await store.grantLease();
  const grantedAt = {nowMs: clock.nowMs(), wallMs: clock.wallMs()};
  const term = new OwnerTerm({
    store,
    clock,
    log,
    lease,
    leaseMs: 60_000,
    grantedAt,
    token: 1,
  });
  const orchestrator = new Orchestrator({
    clock,
    log,
    keys: new PartitionKeys('main'),
    longestLeaseMs: 6000,
    keepFinishedMs: 1000,
    previousTermLeaseMs: 0,
    effects: idleEffects(),
  });
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const polls: PollCommand[] = [];
  const pollTimesMs: number[] = [];
  const session: WorkerSession = new WorkerSession({
    clock,
    log,
    term,
    orchestrator,
    worker,
    longestLeaseMs: 6000,
    whenCommitted: () => Promise.resolve(),
    onChange: () => undefined,
    isBehind: () => isBehind,
    port: {
      poll: (command: PollCommand) => {
        polls.push(command);
        pollTimesMs.push(clock.nowMs());
        if (polls.length === outcomes.length) session.stop();
        const outcome = outcomes[polls.length - 1];
        return Promise.resolve(outcome ?? {kind: 'unknown', reason: 'silence'});
      },
    } as unknown as WorkerPort,
  });
  return {session, orchestrator, term, polls, pollTimesMs};
}

test('the lease of an unresponsive worker is not extended', async () => {
  // Guards against tasks of a dead worker that are never placed again because
  // its lease is extended forever.
  const outcomes = [report, report, undefined, undefined, undefined];
  const {session, term, polls} = await createSession(outcomes);
  await session.run().finally(() => term.end('test'));
  const extended = polls.map(({leaseUntilMs}) => leaseUntilMs !== undefined);
  assert.deepEqual(extended, [false, true, true, false, false]);
});

test('a worker is still polled after an error in a report', async () => {
  // Guards against a worker whose lease ends, and whose tasks run again, because
  // one unexpected error ended its session.
  const fixture = await createSession([report, report, report, report]);
  const {session, orchestrator, term, polls} = fixture;
  let reports = 0;
  const processReport = orchestrator.processReport.bind(orchestrator);
  orchestrator.processReport = (...parameters) => {
    reports += 1;
    if (reports === 2) throw new Error('unexpected');
    processReport(...parameters);
  };
  await session.run().finally(() => term.end('test'));
  assert.equal(polls.length, 4);
  assert.equal(reports, 3);
});

test('polls leave time for ends to gather while the process is behind', async () => {
  // Guards against an owner that spends the time which starts need on polls
  // with one end each.
  const outcomes = [report, report, report];
  const {session, term, pollTimesMs} = await createSession(outcomes, {
    isBehind: true,
  });
  await session.run().finally(() => term.end('test'));
  assert.ok(pollTimesMs[2]! - pollTimesMs[0]! >= 590);
});

test('polls follow each other while the process keeps up', async () => {
  // Guards against ends of tasks that are noticed late without need.
  const {session, term, pollTimesMs} = await createSession([
    report,
    report,
    report,
  ]);
  await session.run().finally(() => term.end('test'));
  assert.ok(pollTimesMs[2]! - pollTimesMs[0]! < 300);
});
