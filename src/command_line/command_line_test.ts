import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, RequestListener} from 'node:http';
import {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test, TestContext} from 'node:test';

import {App} from '@tinyhttp/app';

import {PlatformStandIn} from '../../testing/platform_stand_in.js';
import {SystemClock} from '../clock/system_clock.js';
import {ConfigurationEditor} from '../contracts/configuration_editor.js';
import {ConfigurationStore} from '../contracts/configuration_store.js';
import {createLogger} from '../logging/create_logger.js';
import {DecisionLog} from '../logging/decision_log.js';
import {addOperatorRoutes} from '../operators/add_operator_routes.js';
import {OperatorAccess} from '../operators/operator_access.js';
import {Operator} from '../operators/operator_schema.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {runProgram} from './run_program.js';

function createOperator(name: string, role: Operator['role']): Operator {
  const tokenHash = createHash('sha256').update(`token-${name}`).digest('hex');
  return {name, role, tokenHash};
}

interface Fixture {
  /** Runs a command as an operator; returns the exit status and outputs. */
  run: (
    commandLine: string[],
    operatorName?: string,
  ) => Promise<{status: number; text: string; error: string}>;
  address: string;
  writeContractFile: (text: string) => string;
  decisions: DecisionLog;
}

async function setUp(context: TestContext): Promise<Fixture> {
  const fakePlatform = new PlatformStandIn();
  const port = await fakePlatform.listen('127.0.0.1', 0);
  const platform = new HttpPlatformService({
    origin: `http://127.0.0.1:${port}`,
  });
  const clock = new SystemClock();
  const store = new ConfigurationStore({clock});
  const decisions = new DecisionLog(createLogger('test', {level: 'silent'}));
  const app = new App();
  addOperatorRoutes(app, {
    store,
    editor: new ConfigurationEditor({platform, clock, store}),
    decisions,
    livingEntries: () => 2,
    access: new OperatorAccess([
      createOperator('ana', 'change'),
      createOperator('ben', 'read'),
    ]),
  });
  const server = createServer(app.handler.bind(app) as RequestListener);
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-'));
  context.after(async () => {
    rmSync(folder, {recursive: true});
    server.closeAllConnections();
    server.close();
    await platform.stop();
    await fakePlatform.stop();
  });
  return {
    address,
    decisions,
    writeContractFile: (text) => {
      const path = join(folder, 'contract.jsonc');
      writeFileSync(path, text);
      return path;
    },
    run: async (commandLine, operatorName = 'ana') => {
      const output = {text: '', error: ''};
      const status = await runProgram(commandLine, {
        version: '1.2.3',
        environment: {
          BANYANMUX_ADDRESS: address,
          BANYANMUX_TOKEN: `token-${operatorName}`,
        },
        write: (text) => (output.text += text),
        writeError: (text) => (output.error += text),
      });
      return {status, ...output};
    },
  };
}

const CONTRACT = `{
  // The order portal.
  "customer": "acme", "share": 2,
  "callers": [{"name": "portal", "keyHash": "${'a'.repeat(64)}"}],
}`;

test('a contract is created, amended, explained and deleted', async (context) => {
  // Guards against commands and routes that disagree on paths, headers or
  // fields, and against amendments without a revision.
  const {run, writeContractFile} = await setUp(context);
  const path = writeContractFile(CONTRACT);
  const dryRun = await run(['contract', 'create', path, '--dry-run']);
  assert.match(dryRun.text, /would be accepted/);
  assert.equal((await run(['contract', 'show', 'acme'])).status, 4);
  const created = await run(['contract', 'create', path, '--json']);
  const {revision} = JSON.parse(created.text) as {revision: number};
  assert.equal(revision, 1);
  assert.equal((await run(['contract', 'create', path])).status, 9);
  const amended = writeContractFile(CONTRACT.replace('2', '3'));
  const amend = ['contract', 'amend', amended, '--reason', 'grown'];
  assert.equal((await run(amend)).status, 2);
  const amendResult = await run([...amend, '--revision', '1']);
  assert.match(amendResult.text, /in effect as revision 2\n.*\nshare +2 +3/);
  const conflicting = await run([...amend, '--revision', '1', '--json']);
  assert.equal(conflicting.status, 9);
  const rejection = JSON.parse(conflicting.text) as {current: {share: number}};
  assert.equal(rejection.current.share, 3);
  assert.match(conflicting.error, /REVISION_CONFLICT \(5000\).*now 2/);
  assert.match((await run(['contract', 'list'])).text, /acme +2 +3/);
  const history = await run(['contract', 'history', 'acme']);
  assert.match(history.text, /2 .*ana +amend +share: 2 -> 3 +grown\n1 /);
  const explained = await run(['contract', 'explain', 'acme']);
  assert.match(explained.text, /share +3 +contract/);
  assert.match(explained.text, /maxWaiting +1000 +default +.*500 at each of 2/);
  const remove = ['contract', 'delete', 'acme', '--revision', '2'];
  assert.equal((await run(remove)).status, 0);
  assert.equal((await run(['contract', 'show', 'acme'])).status, 4);
});

test('an operator with the read role cannot change anything', async (context) => {
  // Guards against changes without the role and calls with an unknown token.
  const {run, writeContractFile} = await setUp(context);
  const create = ['contract', 'create', writeContractFile(CONTRACT)];
  assert.equal((await run(create, 'ben')).status, 3);
  assert.match((await run(create, 'eve')).error, /UNAUTHENTICATED/);
  assert.equal((await run(['contract', 'list'], 'ben')).status, 0);
  assert.equal((await run(['stop', 'plan', 'vm-1'], 'ben')).status, 3);
});

test('stops, status and decisions are shown', async (context) => {
  // Guards against state and decisions that operators cannot inspect.
  const {run, decisions} = await setUp(context);
  const from = ['--from', '2099-01-02T03:04:05Z', '--window-ms', '9000'];
  assert.equal((await run(['stop', 'plan', 'vm-1', ...from])).status, 0);
  const list = await run(['stop', 'list']);
  assert.match(list.text, /vm-1 +1 +2099-01-02T03:04:05.000Z +9000/);
  const bad = await run(['stop', 'plan', 'vm-1', '--window-ms=-5']);
  assert.match(bad.error, /windowMs: given -5/);
  assert.equal((await run(['stop', 'cancel', 'vm-1'])).status, 0);
  assert.doesNotMatch((await run(['stop', 'list'])).text, /vm-1/);
  assert.match((await run(['status'])).text, /configurationRevision +2/);
  decisions.record({
    kind: 'route',
    subject: 'r1',
    chosen: 't7',
    reason: 'free',
  });
  assert.match((await run(['why', 'r1'])).text, /route +t7 +- +free/);
  assert.equal((await run(['why', 'r2'])).status, 4);
});

test('the next entry is tried, and usage errors have their own exit status', async (context) => {
  // Guards against an unreachable entry that blocks operators, and against
  // misspelt options that are silently ignored.
  const {run, address, writeContractFile} = await setUp(context);
  const addresses = `http://127.0.0.1:1,${address}`;
  const list = await run(['contract', 'list', '--address', addresses]);
  assert.equal(list.status, 0);
  const none = await run(['status', '--address', '127.0.0.1:1']);
  assert.match(none.error, /NO_OWNER.*Cannot reach entry/);
  assert.equal((await run(['contract', 'list', '--dryrun'])).status, 2);
  assert.equal((await run(['constructor'])).status, 2);
  assert.equal((await run(['--version'])).text, '1.2.3\n');
  assert.match((await run(['stop', 'plan', '--help'])).text, /--window-ms/);
  const broken = writeContractFile(
    '{"customer": "acme",\n "share": -1, "callers": []}',
  );
  const checked = await run(['check-settings', broken, '--kind', 'contract']);
  assert.equal(checked.status, 78);
  assert.match(checked.error, /:2: share: given -1/);
});
