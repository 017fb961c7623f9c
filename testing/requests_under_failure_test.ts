import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';

import {sleep} from '../src/clock/sleep.js';
import {Caller, CallerResult} from './caller.js';
import {Fleet} from './fleet.js';
import {storeContract, TEST_CALLER_KEY} from './store_contract.js';

const TAKEOVER_LIMIT_MS = 3900;
const PAUSE_MS = 3000;

let fleet: Fleet;
let caller: Caller;

before(async () => {
  fleet = await Fleet.start({
    folder: '.run/requests-under-failure',
    dataCentres: [
      {name: 'levis', entryVms: 3, targets: 6, racks: 1, workersPerRack: 1},
    ],
    withSchedulers: false,
    withFaultyLinks: true,
  });
  await storeContract(fleet.platformPort);
  await fleet.waitUntilReady();
  const origins = fleet.members.map(({member}) => fleet.entryOrigin(member));
  caller = new Caller({origins, key: TEST_CALLER_KEY});
  await waitUntilAllServe();
});

after(async () => {
  await caller.stop();
  await fleet.stop();
});

/** Waits until each entry serves requests and every target has an owner. */
async function waitUntilAllServe(): Promise<void> {
  const deadlineMs = performance.now() + 15_000;
  for (;;) {
    const results = await burst(30, {workMs: 1});
    if (results.every(({outcome}) => outcome === 'ran')) return;
    assert.ok(performance.now() < deadlineMs, JSON.stringify(results[0]));
    await sleep(100);
  }
}

function burst(
  count: number,
  input: {workMs: number; origin?: string},
): Promise<CallerResult[]> {
  return Promise.all(
    Array.from({length: count}, (_, index) =>
      caller.call({...input, body: `${index}`.repeat(500)}),
    ),
  );
}

/** Returns the results that show that a request was not served. */
function unserved(results: readonly CallerResult[]): CallerResult[] {
  return results.filter(({outcome}) => outcome !== 'ran');
}

async function assertNoViolation(): Promise<void> {
  assert.equal(
    await fleet.violations(),
    0,
    JSON.stringify(await fleet.targetsControl()),
  );
}

test('a burst above the slot count gets complete, matching responses', async () => {
  // Guards against truncated or mixed-up responses, and against a ninth
  // concurrent request on an executor that several entries use.
  const results = await burst(300, {workMs: 20});
  assert.ok(results.every(({isCorrect}) => isCorrect));
  assert.deepEqual(unserved(results), []);
  await assertNoViolation();
});

test('targets of a killed entry serve requests again within 3.9 s', async () => {
  // Guards against targets left without an owner, and against a new owner that
  // uses slots still occupied by requests of the killed entry.
  const [victim, ...others] = fleet.members.map(({member}) => member);
  const load = burst(60, {workMs: 1500});
  await sleep(300);
  const before = (await fleet.targetsControl())['requestsByTarget'] as Record<
    string,
    number
  >;
  await fleet.process('entry', victim!).kill();
  const startMs = performance.now();
  await load;
  for (;;) {
    await Promise.all(
      others.map((member) =>
        burst(12, {workMs: 5, origin: fleet.entryOrigin(member)}),
      ),
    );
    const now = (await fleet.targetsControl())['requestsByTarget'] as Record<
      string,
      number
    >;
    if (Object.keys(before).every((name) => now[name]! > before[name]!)) break;
    assert.ok(performance.now() - startMs < TAKEOVER_LIMIT_MS);
  }
  await assertNoViolation();
  fleet.startMember(victim!);
  await fleet.waitUntilReady([victim!]);
});

test('an entry paused until after its takeover causes no violations', async () => {
  // Guards against a former owner that continues to send requests after it
  // resumes.
  const victim = fleet.members[1]!.member;
  const load = burst(60, {workMs: 800});
  await sleep(200);
  fleet.process('entry', victim).signal('SIGSTOP');
  await sleep(PAUSE_MS);
  fleet.process('entry', victim).signal('SIGCONT');
  const origin = fleet.entryOrigin(victim);
  const later = await burst(40, {workMs: 5, origin});
  const results = [...(await load), ...later];
  assert.ok(results.every(({isCorrect}) => isCorrect));
  await assertNoViolation();
});

test('requests are served through a platform outage', async () => {
  // Guards against owners that stop serving while the platform is unreachable.
  await fleet.setPlatformFaults({down: true});
  const results: CallerResult[] = [];
  for (let round = 0; round < 20; round++) {
    results.push(...(await burst(20, {workMs: 5})));
    await sleep(100);
  }
  await fleet.setPlatformFaults({});
  assert.deepEqual(unserved(results), []);
  await assertNoViolation();
});
