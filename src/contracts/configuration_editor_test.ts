import assert from 'node:assert/strict';
import {test, TestContext} from 'node:test';

import VError from 'verror';

import {MemoryPlatform} from '../../testing/memory_platform.js';
import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {ManualClock} from '../clock/manual_clock.js';
import {SystemClock} from '../clock/system_clock.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {ConfigurationEditor} from './configuration_editor.js';
import {contractKey} from './configuration_key.js';
import {ConfigurationStore} from './configuration_store.js';

const clock = new SystemClock();
const author = {operator: 'ana'};

function createContractInput(share: number): object {
  const callers = [{name: 'portal', keyHash: 'a'.repeat(64)}];
  return {customer: 'acme', share, callers};
}

interface Operator {
  editor: ConfigurationEditor;
  store: ConfigurationStore;
}

async function setUp(
  context: TestContext,
  seed = 1,
): Promise<{fakePlatform: PlatformStandIn; operator: () => Operator}> {
  const fakePlatform = new PlatformStandIn({seed});
  const port = await fakePlatform.listen('127.0.0.1', 0);
  const platform = new HttpPlatformService({
    origin: `http://127.0.0.1:${port}`,
  });
  context.after(async () => {
    await platform.stop();
    await fakePlatform.stop();
  });
  const operator = (): Operator => {
    const store = new ConfigurationStore({clock});
    const options = {
      platform,
      clock,
      store,
      resolveTimeoutMs: 1500,
      retryIntervalMs: 5,
    };
    return {store, editor: new ConfigurationEditor(options)};
  };
  return {fakePlatform, operator};
}

function hasCode(code: {number: number}): (error: unknown) => boolean {
  return (error) =>
    error instanceof ResultError && error.code.number === code.number;
}

test('of two concurrent amendments one succeeds, the other gets a conflict', async (context) => {
  // Guards against an amendment that silently overwrites another one.
  const {operator} = await setUp(context);
  const [first, second] = [operator(), operator()];
  const {revision} = await first.editor.createContract(
    createContractInput(1),
    author,
  );
  const results = await Promise.allSettled(
    [first, second].map(({editor}, index) =>
      editor.amendContract(createContractInput(index + 2), {
        ...author,
        baseRevision: revision,
      }),
    ),
  );
  const accepted = results.filter(({status}) => status === 'fulfilled');
  const rejected = results.find(({status}) => status === 'rejected');
  assert.equal(accepted.length, 1);
  const error = (rejected as {reason: ResultError}).reason;
  assert.ok(hasCode(ResultCodes.REVISION_CONFLICT)(error));
  const current = await first.editor.readContract('acme');
  const info = VError.info(error);
  assert.deepEqual(info['current'], current?.record.value);
  assert.equal(info['revision'], current?.revision);
});

test('a change whose response is lost is applied exactly once', async (context) => {
  // Guards against reporting success without effect, against writing the same
  // change twice, and against a conflict with the operator's own change.
  const {fakePlatform, operator} = await setUp(context, 7);
  fakePlatform.setFaults({loseAnswers: 0.7});
  const {editor, store} = operator();
  let {revision} = await editor.createContract(createContractInput(1), author);
  for (let share = 2; share <= 15; share++) {
    const change = {...author, baseRevision: revision};
    const amended = await editor.amendContract(
      createContractInput(share),
      change,
    );
    assert.equal(amended.revision, revision + 1);
    ({revision} = amended);
    assert.equal(store.contract('acme')?.share, share);
  }
  const stored = await editor.readContract('acme');
  assert.equal(stored?.revision, 15);
  assert.equal(stored?.record.history.length, 14);
});

test('a change with an unknown outcome is reported as in doubt', async (context) => {
  // Guards against reporting "did not run" for a change that may take effect,
  // and "in doubt" for one that was never sent.
  const {fakePlatform, operator} = await setUp(context);
  const {editor} = operator();
  const {revision} = await editor.createContract(
    createContractInput(1),
    author,
  );
  const amend = (): Promise<unknown> =>
    editor.amendContract(createContractInput(2), {
      ...author,
      baseRevision: revision,
    });
  fakePlatform.setFaults({down: true});
  await assert.rejects(amend, hasCode(ResultCodes.CHANGE_IN_DOUBT));
  await fakePlatform.stop();
  await assert.rejects(amend, hasCode(ResultCodes.PLATFORM_UNAVAILABLE));
});

test('a deleted contract keeps its history and can be created again', async (context) => {
  // Guards against an old write that recreates a deleted contract, and
  // against changes that are missing from the history.
  const {operator} = await setUp(context);
  const {editor, store} = operator();
  const {revision} = await editor.createContract(
    createContractInput(1),
    author,
  );
  const remove = {...author, reason: 'ended', baseRevision: revision};
  await editor.deleteContract('acme', remove);
  assert.equal(store.contract('acme'), undefined);
  const amend = editor.amendContract(createContractInput(2), remove);
  await assert.rejects(amend, hasCode(ResultCodes.REVISION_CONFLICT));
  const again = await editor.createContract(createContractInput(3), author);
  const actions = again.record.history.map(({action}) => action);
  assert.deepEqual(actions, ['delete', 'create']);
  const stop = {name: 'vm-1', fromWallMs: 5};
  await editor.planStop(stop, {...author, isDryRun: true});
  assert.equal(store.plannedStop('vm-1'), undefined);
  await editor.planStop(stop, author);
  assert.equal(store.plannedStop('vm-1')?.windowMs, 60_000);
  await editor.cancelStop('vm-1', author);
  assert.equal(store.plannedStop('vm-1'), undefined);
});

test('the contract that a deletion ended stays known', async (context) => {
  // Guards against accepted jobs of a customer that run without any limit once
  // its contract is deleted, also in a process that starts afterwards.
  const {operator} = await setUp(context);
  const {editor, store} = operator();
  const created = await editor.createContract(createContractInput(7), author);
  const baseRevision = created.revision;
  await editor.deleteContract('acme', {...author, baseRevision});
  const entry = store.entry(contractKey('acme'));
  assert.ok(entry);
  const later = new ConfigurationStore({
    clock: new ManualClock(),
    maxTombstones: 2,
  });
  later.applyChange(entry);
  for (const view of [store, later]) {
    assert.equal(view.contract('acme'), undefined);
    assert.deepEqual(view.latestContract('acme'), created.record.value);
  }
});

test('the error for an invalid contract lists key, value and what is allowed', async (context) => {
  // Guards against error messages that do not say what to correct.
  const {operator} = await setUp(context);
  const {editor} = operator();
  const floors = {urgent: {floor: 0.7}, batch: {floor: 0.6}};
  const createInvalid = (change: object): Promise<unknown> =>
    editor.createContract({...createContractInput(1), ...change}, author);
  await assert.rejects(
    createInvalid({vmShare: 1.5}),
    /vmShare: given 1.5; .*<=1/,
  );
  await assert.rejects(createInvalid({urgencies: floors}), /at most 1/);
  await assert.rejects(createInvalid({extra: 1}), /extra: unknown key/);
});

/** Creates an editor of a platform in memory. */
function createMemoryEditor(): {
  platform: MemoryPlatform;
  editor: ConfigurationEditor;
} {
  const platform = new MemoryPlatform();
  const store = new ConfigurationStore({clock});
  const resolveTimeoutMs = 0;
  const options = {platform, clock, store, resolveTimeoutMs};
  return {platform, editor: new ConfigurationEditor(options)};
}

test('a planned stop that was cancelled does not come into force later', async () => {
  // Guards against a stop whose write is carried out after its cancelling was
  // answered with "there is no such stop".
  const {platform, editor} = createMemoryEditor();
  const stop = {name: 'a-target-1', fromWallMs: clock.wallMs()};
  platform.lateWrites = 1;
  const inDoubt = hasCode(ResultCodes.CHANGE_IN_DOUBT);
  await assert.rejects(editor.planStop(stop, author), inDoubt);
  const notFound = hasCode(ResultCodes.NOT_FOUND);
  await assert.rejects(editor.cancelStop(stop.name, author), notFound);
  const [late] = platform.applyLateWrites();
  assert.equal(late?.written, false);
  await editor.planStop(stop, author);
  await editor.cancelStop(stop.name, author);
  platform.lateWrites = 1;
  await assert.rejects(editor.planStop(stop, author), inDoubt);
  await assert.rejects(editor.cancelStop(stop.name, author), notFound);
  const [later] = platform.applyLateWrites();
  assert.equal(later?.written, false);
});

test('a contract that was deleted is not created by a late write', async () => {
  // Guards against a contract that comes into force after its deletion was
  // answered with "there is no such contract".
  const {platform, editor} = createMemoryEditor();
  platform.lateWrites = 1;
  const inDoubt = hasCode(ResultCodes.CHANGE_IN_DOUBT);
  const input = createContractInput(1);
  await assert.rejects(editor.createContract(input, author), inDoubt);
  const notFound = hasCode(ResultCodes.NOT_FOUND);
  const change = {...author, baseRevision: 0};
  const tried = {...change, isDryRun: true};
  await assert.rejects(editor.deleteContract('acme', tried), notFound);
  assert.equal(await platform.read(contractKey('acme')), undefined);
  await assert.rejects(editor.deleteContract('acme', change), notFound);
  const [late] = platform.applyLateWrites();
  assert.equal(late?.written, false);
  const created = await editor.createContract(input, author);
  assert.equal(created.record.value?.customer, 'acme');
});
