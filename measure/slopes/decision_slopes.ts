import {FairQueueingPolicy} from '../../src/admission/fair_queueing_policy.js';
import {ManualClock} from '../../src/clock/manual_clock.js';
import {Contract, contractSchema} from '../../src/contracts/contract.js';
import {URGENCIES} from '../../src/contracts/urgency.js';
import {HeadroomFit} from '../../src/placement/headroom_fit.js';
import {PlacementRequest} from '../../src/placement/placement_request.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {heapBytes} from '../heap_bytes.js';
import {measureEventMicroseconds} from './measure_event_microseconds.js';
import {SlopeCase, SlopePoint} from './slope_case.js';

const CUSTOMER_COUNT = 280;
const TASKS_PER_WORKER = 10;

function createContract(customer: string): Contract {
  return contractSchema.parse({
    customer,
    services: ['portal'],
    callers: [{name: 'counter', keyHash: '0'.repeat(64)}],
    urgencies: {standard: {maxWaiting: 1_000_000}},
  });
}

function createPlacementRequest(
  index: number,
  processors: number,
): PlacementRequest {
  return {
    taskId: `job-${index}/0`,
    customer: `team-${index % CUSTOMER_COUNT}`,
    kind: `kind-${index % 40}`,
    urgency: URGENCIES[index % URGENCIES.length]!,
    resources: {
      processors,
      memoryMegabytes: processors * 3000,
      accelerators: 0,
    },
    runTimeMs: 600_000,
    value: 1,
  };
}

function measurePlacement(workers: number): SlopePoint {
  const before = heapBytes();
  const policy = new HeadroomFit();
  for (let index = 0; index < workers; index++) {
    policy.addWorker({
      worker: `limoilou-worker-${index}`,
      rack: `limoilou-rack-${Math.floor(index / 11)}`,
      capacity: {processors: 32, memoryMegabytes: 125_000, accelerators: 1},
    });
  }
  const random = new SeededRandom(1);
  let next = 0;
  const startTask = (): void => {
    const request = createPlacementRequest(next, 1 + random.nextInteger(4));
    next += 1;
    const placement = policy.place(request);
    if (!placement || placement.victims.length > 0) return;
    policy.commit({...request, worker: placement.worker, lostWorkMs: 0});
  };
  for (let index = 0; index < workers * TASKS_PER_WORKER; index++) startTask();
  const bytes = heapBytes() - before;
  let oldestTask = 0;
  const microseconds = measureEventMicroseconds(() => {
    policy.release(`job-${oldestTask}/0`);
    oldestTask += 1;
    startTask();
  });
  return {bytes, microseconds};
}

function measureWaitingRequests(waiting: number): SlopePoint {
  const contracts = new Map(
    Array.from({length: CUSTOMER_COUNT}, (_, index) => [
      `team-${index}`,
      createContract(`team-${index}`),
    ]),
  );
  const clock = new ManualClock();
  const before = heapBytes();
  const policy = new FairQueueingPolicy({
    clock,
    contracts: {contract: (customer) => contracts.get(customer)},
  });
  let next = 0;
  const offerRequest = (): void => {
    next += 1;
    policy.offer({
      requestId: `request-${next}`,
      customer: `team-${next % CUSTOMER_COUNT}`,
      caller: `caller-${next % 7}`,
      service: 'portal',
      urgency: 'standard',
      arrivedMs: clock.nowMs(),
      deadlineMs: clock.nowMs() + 86_400_000,
    });
  };
  for (let index = 0; index < waiting; index++) offerRequest();
  const bytes = heapBytes() - before;
  const microseconds = measureEventMicroseconds(() => {
    offerRequest();
    const request = policy.dequeue('portal');
    if (request) policy.recordCompletion(request, 5);
  });
  return {bytes, microseconds};
}

/** Costs of the decisions of a scheduler and of an entry. */
export const DECISION_SLOPES: readonly SlopeCase[] = [
  {
    name: `scheduler: placement with ${TASKS_PER_WORKER} tasks a worker, one start and end`,
    per: 'worker',
    bytesAre: 'memory',
    sizes: [45, 450, 1800, 4500],
    run: measurePlacement,
  },
  {
    name: 'entry: waiting requests, one offered and taken',
    per: 'waiting request',
    bytesAre: 'memory',
    sizes: [1000, 4000, 16_000, 64_000],
    run: measureWaitingRequests,
  },
];
