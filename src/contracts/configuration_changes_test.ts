import assert from 'node:assert/strict';
import {test, TestContext} from 'node:test';

import VError from 'verror';

import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {SystemClock} from '../clock/system_clock.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {ConfigurationChanges} from './configuration_changes.js';
import {ConfigurationStore} from './configuration_store.js';

const clock = new SystemClock();
const author = {operator: 'ana'};

function contract(share: number): object {
  const callers = [{name: 'portal', keyHash: 'a'.repeat(64)}];
  return {customer: 'acme', share, callers};
}

interface Operator {
  changes: ConfigurationChanges;
  store: ConfigurationStore;
}

async function fixture(
  context: TestContext,
  seed = 1,
): Promise<{standIn: PlatformStandIn; operator: () => Operator}> {
  const standIn = new PlatformStandIn({seed});
  const port = await standIn.listen('127.0.0.1', 0);
  const platform = new HttpPlatformService({
    origin: `http://127.0.0.1:${port}`,
  });
  context.after(async () => {
    await platform.stop();
    await standIn.stop();
  });
  const operator = (): Operator => {
    const store = new ConfigurationStore({clock});
    const options = {platform, clock, store, settleMs: 1500, retryMs: 5};
    return {store, changes: new ConfigurationChanges(options)};
  };
  return {standIn, operator};
}

function hasCode(code: {number: number}): (error: unknown) => boolean {
  return (error) =>
    error instanceof ResultError && error.code.number === code.number;
}

test('of two racing operators one wins, the other sees the result', async (context) => {
  // Guards against an amendment that silently overwrites another one.
  const {operator} = await fixture(context);
  const [first, second] = [operator(), operator()];
  const {revision} = await first.changes.createContract(contract(1), author);
  const results = await Promise.allSettled(
    [first, second].map(({changes}, index) =>
      changes.amendContract(contract(index + 2), {
        ...author,
        baseRevision: revision,
      }),
    ),
  );
  const won = results.filter(({status}) => status === 'fulfilled');
  const lost = results.find(({status}) => status === 'rejected');
  assert.equal(won.length, 1);
  const reason = (lost as {reason: ResultError}).reason;
  assert.ok(hasCode(ResultCodes.REVISION_CONFLICT)(reason));
  const current = await first.changes.readContract('acme');
  const info = VError.info(reason);
  assert.deepEqual(info['current'], current?.record.value);
  assert.equal(info['revision'], current?.revision);
});

test('a change whose answer is lost is accepted exactly once', async (context) => {
  // Guards against "accepted" without effect, against a second write of the
  // same change, and against a conflict with the operator's own change.
  const {standIn, operator} = await fixture(context, 7);
  standIn.setFaults({loseAnswers: 0.7});
  const {changes, store} = operator();
  let {revision} = await changes.createContract(contract(1), author);
  for (let share = 2; share <= 15; share++) {
    const change = {...author, baseRevision: revision};
    const amended = await changes.amendContract(contract(share), change);
    assert.equal(amended.revision, revision + 1);
    ({revision} = amended);
    assert.equal(store.contract('acme')?.share, share);
  }
  const stored = await changes.readContract('acme');
  assert.equal(stored?.revision, 15);
  assert.equal(stored?.record.history.length, 14);
});

test('a change that cannot be settled is reported as in doubt', async (context) => {
  // Guards against "did not run" for a change that may take effect, and
  // against "in doubt" for one that was never sent.
  const {standIn, operator} = await fixture(context);
  const {changes} = operator();
  const {revision} = await changes.createContract(contract(1), author);
  const amend = (): Promise<unknown> =>
    changes.amendContract(contract(2), {...author, baseRevision: revision});
  standIn.setFaults({down: true});
  await assert.rejects(amend, hasCode(ResultCodes.CHANGE_IN_DOUBT));
  await standIn.stop();
  await assert.rejects(amend, hasCode(ResultCodes.PLATFORM_UNAVAILABLE));
});

test('a deleted contract keeps its history and can be created again', async (context) => {
  // Guards against an old write that recreates a deleted contract, and
  // against changes that leave no trace.
  const {operator} = await fixture(context);
  const {changes, store} = operator();
  const {revision} = await changes.createContract(contract(1), author);
  const remove = {...author, reason: 'ended', baseRevision: revision};
  await changes.deleteContract('acme', remove);
  assert.equal(store.contract('acme'), undefined);
  const amend = changes.amendContract(contract(2), remove);
  await assert.rejects(amend, hasCode(ResultCodes.REVISION_CONFLICT));
  const again = await changes.createContract(contract(3), author);
  const actions = again.record.history.map(({action}) => action);
  assert.deepEqual(actions, ['delete', 'create']);
  const stop = {name: 'vm-1', fromWallMs: 5};
  await changes.planStop(stop, {...author, isDryRun: true});
  assert.equal(store.plannedStop('vm-1'), undefined);
  await changes.planStop(stop, author);
  assert.equal(store.plannedStop('vm-1')?.windowMs, 60_000);
  await changes.cancelStop('vm-1', author);
  assert.equal(store.plannedStop('vm-1'), undefined);
});

test('a refused contract names key, given value and what is allowed', async (context) => {
  // Guards against messages that leave the operator guessing.
  const {operator} = await fixture(context);
  const {changes} = operator();
  const floors = {urgent: {floor: 0.7}, batch: {floor: 0.6}};
  const refused = (change: object): Promise<unknown> =>
    changes.createContract({...contract(1), ...change}, author);
  await assert.rejects(refused({vmShare: 1.5}), /vmShare: given 1.5; .*<=1/);
  await assert.rejects(refused({urgencies: floors}), /at most 1/);
  await assert.rejects(refused({extra: 1}), /extra: unknown key/);
});
