import assert from 'node:assert/strict';
import {test} from 'node:test';

import {MemoryStore} from '../../testing/memory_store.js';
import {silentLog} from '../../testing/silent_log.js';
import {simpleWorker} from '../../testing/simple_definitions.js';
import {SystemClock} from '../clock/system_clock.js';
import {OwnerTerm} from '../leadership/owner_term.js';
import {PartitionKeys} from '../leadership/partition_keys.js';
import {Orchestrator} from './orchestrator.js';
import {LookOrder, LookOutcome, WorkerPort} from './worker_port.js';
import {WorkerSession} from './worker_session.js';

const report: LookOutcome = {
  kind: 'report',
  report: {clockMs: 5000, bornMs: 1, running: [], ended: []},
};

test('a worker that does not answer gets no longer leases', async () => {
  // Guards against tasks of a dead worker that wait for a lease without end.
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
    earlierTermMs: 0,
    effects: {
      start: () => undefined,
      stop: () => undefined,
      stopStray: () => undefined,
      pace: () => undefined,
      askAdvice: () => undefined,
      phasesStored: () => undefined,
      commitSoon: () => undefined,
    },
  });
  orchestrator.seeWorker(simpleWorker('w'));
  const worker = orchestrator.workers.get('w')!;
  const looks: LookOrder[] = [];
  const outcomes = [report, report, undefined, undefined, undefined];
  const session = new WorkerSession({
    clock,
    log,
    term,
    orchestrator,
    worker,
    longestLeaseMs: 6000,
    whenStored: () => Promise.resolve(),
    onChange: () => undefined,
    port: {
      look: (order: LookOrder) => {
        looks.push(order);
        if (looks.length === outcomes.length) session.stop();
        const outcome = outcomes[looks.length - 1];
        return Promise.resolve(outcome ?? {kind: 'unknown', reason: 'silence'});
      },
    } as unknown as WorkerPort,
  });
  await session.run();
  term.end('test');
  const extended = looks.map(({leaseUntilMs}) => leaseUntilMs !== undefined);
  assert.deepEqual(extended, [false, true, true, false, false]);
});
