import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {simpleWorker} from '../../testing/simple_definitions.js';
import {SystemClock} from '../clock/system_clock.js';
import {OwnerTerm} from '../leadership/owner_term.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {Orchestrator} from './orchestrator.js';
import {PollCommand, PollOutcome, WorkerPort} from './worker_port.js';
import {WorkerSession} from './worker_session.js';

const report: PollOutcome = {
  kind: 'report',
  report: {clockMs: 5000, bornMs: 1, running: [], ended: []},
};

test('the lease of an unresponsive worker is not extended', async () => {
  // Guards against tasks of a dead worker that are never placed again because
  // its lease is extended forever.
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
    effects: {
      start: () => undefined,
      stop: () => undefined,
      stopOrphanRun: () => undefined,
      setSpeedLimit: () => undefined,
      requestAdvice: () => undefined,
      publishPhases: () => undefined,
      requestCommit: () => undefined,
    },
  });
  orchestrator.upsertWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const polls: PollCommand[] = [];
  const outcomes = [report, report, undefined, undefined, undefined];
  const session = new WorkerSession({
    clock,
    log,
    term,
    orchestrator,
    worker,
    longestLeaseMs: 6000,
    whenCommitted: () => Promise.resolve(),
    onChange: () => undefined,
    port: {
      poll: (command: PollCommand) => {
        polls.push(command);
        if (polls.length === outcomes.length) session.stop();
        const outcome = outcomes[polls.length - 1];
        return Promise.resolve(outcome ?? {kind: 'unknown', reason: 'silence'});
      },
    } as unknown as WorkerPort,
  });
  await session.run();
  term.end('test');
  const extended = polls.map(({leaseUntilMs}) => leaseUntilMs !== undefined);
  assert.deepEqual(extended, [false, true, true, false, false]);
});
