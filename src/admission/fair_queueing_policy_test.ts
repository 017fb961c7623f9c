import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';

import {ManualClock} from '../clock/manual_clock.js';
import {contractSchema} from '../contracts/contract.js';
import {Urgency, URGENCIES} from '../contracts/urgency.js';
import {FairQueueingPolicy} from './fair_queueing_policy.js';
import {WaitingRequest} from './waiting_request.js';

const SERVICE = 'portal';

/** Offers requests to a policy and serves them on a manual clock. */
class Driver {
  readonly clock = new ManualClock();
  readonly policy: FairQueueingPolicy;
  private nextId = 0;

  constructor(
    contracts: object[],
    options: {livingEntries?: number; classFloor?: number} = {},
  ) {
    const {livingEntries = 1, classFloor} = options;
    const callers = ['a', 'b', 'c'].map((name) => ({
      name,
      keyHash: '0'.repeat(64),
    }));
    const byName = new Map(
      contracts.map((fields) => {
        const contract = contractSchema.parse({callers, ...fields});
        return [contract.customer, contract];
      }),
    );
    this.policy = new FairQueueingPolicy({
      clock: this.clock,
      contracts: {contract: (name) => byName.get(name)},
      livingEntries: () => livingEntries,
      classFloor,
    });
  }

  request(fields: Partial<WaitingRequest> = {}): WaitingRequest {
    const arrivedMs = this.clock.nowMs();
    return {
      requestId: `r${this.nextId++}`,
      customer: 'one',
      caller: 'a',
      service: SERVICE,
      urgency: 'standard',
      arrivedMs,
      deadlineMs: arrivedMs + 100_000,
      ...fields,
    };
  }

  /** Offers `count` requests; returns how many were admitted. */
  offer(count: number, fields: Partial<WaitingRequest> = {}): number {
    let admitted = 0;
    for (let i = 0; i < count; i++) {
      if (this.policy.offer(this.request(fields)).admitted) admitted += 1;
    }
    return admitted;
  }

  /** Serves `count` requests in rounds of `slots`, each for `runMs`. */
  serve(count: number, slots = 8, runMs = 10): WaitingRequest[] {
    const served: WaitingRequest[] = [];
    while (served.length < count) {
      const round = [];
      for (let i = 0; i < slots; i++) {
        const request = this.policy.dequeue(SERVICE);
        if (request) round.push(request);
      }
      if (round.length === 0) break;
      this.clock.advance(runMs);
      for (const request of round) this.policy.recordCompletion(request, runMs);
      served.push(...round);
    }
    return served;
  }
}

function classes(settings: object): object {
  return {urgent: settings, standard: settings, batch: settings};
}

// Guards against serving the whole burst of one caller before the requests of
// other callers of the same customer.
test('a burst of one caller does not delay other callers of its customer', () => {
  const driver = new Driver([{customer: 'one'}]);
  driver.offer(500);
  driver.offer(10, {caller: 'b'});
  const served = driver.serve(24).filter((request) => request.caller === 'b');
  assert.equal(served.length, 10);
});

// Guards against an order of service that ignores the shares.
test('customers are served in proportion to their shares', () => {
  fc.assert(
    fc.property(fc.integer({min: 1, max: 8}), (share) => {
      const driver = new Driver([{customer: 'one', share}, {customer: 'two'}]);
      driver.offer(600);
      driver.offer(600, {customer: 'two'});
      const served = driver.serve(320);
      const one = served.filter((r) => r.customer === 'one').length;
      const expected = (320 * share) / (share + 1);
      assert.ok(Math.abs(one - expected) <= 8 + share, `${one}, ${expected}`);
    }),
    {seed: 2, numRuns: 30},
  );
});

// Guards against a flood of urgent requests that pushes a class below its
// floor, and against floors that take more from the urgent class than their
// sum.
test('classes keep their floors during a flood of urgent requests', () => {
  const floors = fc.record({
    standard: fc.integer({min: 0, max: 5}),
    batch: fc.integer({min: 0, max: 4}),
  });
  fc.assert(
    fc.property(floors, ({standard, batch}) => {
      const urgencies = {
        standard: {floor: standard / 10},
        batch: {floor: batch / 10},
      };
      const driver = new Driver([{customer: 'one', urgencies}]);
      for (const urgency of URGENCIES) {
        for (const caller of ['a', 'b']) driver.offer(600, {urgency, caller});
      }
      const served = driver.serve(400);
      const shareOf = (urgency: Urgency): number =>
        served.filter((r) => r.urgency === urgency).length / served.length;
      assert.ok(shareOf('standard') >= (0.97 * standard) / 10);
      assert.ok(shareOf('batch') >= (0.97 * batch) / 10);
      assert.ok(shareOf('urgent') >= 0.9 - (standard + batch) / 10);
    }),
    {seed: 3, numRuns: 40},
  );
});

// Guards against losing the floor of a class because it used idle slots for a
// long time before other requests arrived.
test('a class keeps its floor after it has used idle slots', () => {
  const batch = {floor: 0.2, maxWaiting: 10_000};
  const driver = new Driver([{customer: 'one', urgencies: {batch}}]);
  driver.offer(6000, {urgency: 'batch'});
  driver.serve(3000);
  driver.offer(600, {urgency: 'urgent'});
  const served = driver.serve(200).filter((r) => r.urgency === 'batch');
  assert.ok(served.length >= 35 && served.length <= 50, `${served.length}`);
});

// Guards against one caller that fills the whole queue of its customer.
test('a burst of one caller leaves queue capacity for other callers', () => {
  const urgencies = classes({maxWaiting: 90});
  const driver = new Driver([{customer: 'one', urgencies}], {
    livingEntries: 3,
  });
  assert.equal(driver.offer(100), 20);
  assert.ok(driver.offer(100, {caller: 'b'}) >= 5);
  assert.equal(driver.offer(1, {caller: 'c'}), 1);
  assert.ok(driver.policy.waitingCount() <= 30);
});

// Guards against queueing requests that cannot end before their deadline, and
// against rejecting requests while the queue is empty.
test('a request with an unreachable deadline is rejected with a retry delay', () => {
  const driver = new Driver([{customer: 'one'}]);
  driver.offer(400);
  driver.serve(80);
  const short = driver.request({deadlineMs: driver.clock.nowMs() + 100});
  const result = driver.policy.offer(short);
  assert.ok(!result.admitted && result.code.name === 'DEADLINE_UNREACHABLE');
  assert.ok(result.retryAfterMs > 100 && result.retryAfterMs < 1000);
  driver.serve(1000);
  assert.equal(driver.policy.offer({...short, deadlineMs: 1e6}).admitted, true);
});

// Guards against requests that are refused at the start of a burst although they
// would end long before their deadline: few slots are in use at that moment.
test('a burst is admitted by the slots that the service has used before', () => {
  const driver = new Driver([{customer: 'one'}]);
  driver.offer(96);
  driver.serve(96, 48, 50);
  driver.clock.advance(1000);
  driver.offer(1);
  driver.policy.dequeue(SERVICE);
  const deadlineMs = driver.clock.nowMs() + 5000;
  assert.equal(driver.offer(300, {deadlineMs}), 300);
});

// Guards against a requeued request that overtakes more urgent ones, loses its
// position among the requests of its caller, or stays charged to its caller.
test('a requeued request waits for its turn again', () => {
  const driver = new Driver([{customer: 'one'}], {classFloor: 0});
  driver.offer(3, {urgency: 'batch'});
  const first = driver.policy.dequeue(SERVICE)!;
  driver.offer(1, {urgency: 'urgent'});
  driver.policy.requeue(first);
  assert.equal(driver.policy.waitingCount(), 4);
  assert.equal(driver.policy.dequeue(SERVICE)?.urgency, 'urgent');
  assert.equal(driver.policy.dequeue(SERVICE)?.requestId, first.requestId);
});

type Step = {
  action:
    'offer' | 'take' | 'putBack' | 'cancel' | 'complete' | 'advance' | 'expire';
  urgency: Urgency;
  caller: string;
  customer: string;
  amount: number;
};

const steps = fc.array(
  fc.record<Step>({
    action: fc.constantFrom(
      'offer',
      'offer',
      'offer',
      'take',
      'take',
      'putBack',
      'cancel',
      'complete',
      'advance',
      'expire',
    ),
    urgency: fc.constantFrom(...URGENCIES),
    caller: fc.constantFrom('a', 'b', 'c'),
    customer: fc.constantFrom('one', 'two'),
    amount: fc.integer({min: 1, max: 60}),
  }),
  {maxLength: 400},
);

// Guards against lost or duplicated requests, requests served after their
// deadline, and exceeded limits, for any order of events.
test('each admitted request leaves the queue exactly once', () => {
  const urgencies = classes({maxWaiting: 12, floor: 0.1});
  fc.assert(
    fc.property(steps, (all) => {
      const driver = new Driver([
        {customer: 'one', urgencies},
        {customer: 'two', urgencies, share: 3},
      ]);
      const {policy, clock} = driver;
      const waiting = new Map<string, WaitingRequest>();
      const running: WaitingRequest[] = [];
      const leave = (request: WaitingRequest): void =>
        assert.ok(waiting.delete(request.requestId));
      for (const {action, amount, ...fields} of all) {
        const deadlineMs = clock.nowMs() + amount * 5;
        if (action === 'offer') {
          const request = driver.request({...fields, deadlineMs});
          if (policy.offer(request).admitted) {
            waiting.set(request.requestId, request);
          }
        } else if (action === 'take') {
          const request = policy.dequeue(SERVICE);
          if (!request) continue;
          leave(request);
          assert.ok(request.deadlineMs > clock.nowMs());
          running.push(request);
        } else if (action === 'cancel') {
          const id = `r${amount}`;
          assert.equal(policy.cancel(id), waiting.delete(id));
        } else if (action === 'putBack') {
          const request = running.pop();
          if (!request || waiting.size >= 8) continue;
          policy.requeue(request);
          waiting.set(request.requestId, request);
        } else if (action === 'complete') {
          const request = running.shift();
          if (request) policy.recordCompletion(request, amount);
        } else if (action === 'advance') clock.advance(amount);
        else policy.removeExpired().forEach(leave);
        const one = [...waiting.values()].filter((r) => r.customer === 'one');
        for (const urgency of URGENCIES) {
          assert.ok(one.filter((r) => r.urgency === urgency).length <= 12);
        }
      }
      clock.advance(1000);
      assert.equal(policy.dequeue(SERVICE), undefined);
      policy.removeExpired().forEach(leave);
      assert.equal(waiting.size + policy.waitingCount(), 0);
    }),
    {seed: 4, numRuns: 300},
  );
});

test('a pause of the process does not count as slow service', () => {
  // Guards against rejecting requests after SIGSTOP and SIGCONT: counting the
  // pause as service time predicted waits of 5 s for an empty queue.
  const clock = new ManualClock();
  const contract = contractSchema.parse({
    customer: 'association',
    callers: [{name: 'counter', keyHash: '0'.repeat(64)}],
  });
  const policy = new FairQueueingPolicy({
    clock,
    contracts: {contract: () => contract},
  });
  let count = 0;
  const offer = (): boolean =>
    policy.offer({
      requestId: `request-${count++}`,
      customer: 'association',
      caller: 'counter',
      service: 'portal',
      urgency: 'standard',
      arrivedMs: clock.nowMs(),
      deadlineMs: clock.nowMs() + 5000,
    }).admitted;
  for (let index = 0; index < 40; index++) offer();
  const running = Array.from({length: 8}, () => policy.dequeue('portal')!);
  for (let tick = 0; tick < 8; tick++) {
    clock.advance(25);
    policy.removeExpired();
  }
  clock.advance(3000);
  for (const request of running) {
    policy.recordCompletion(request, 3200);
    policy.dequeue('portal');
  }
  assert.ok(Array.from({length: 20}, offer).every((isAdmitted) => isAdmitted));
});
