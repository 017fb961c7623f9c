import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {after, before, test} from 'node:test';
import {promisify} from 'node:util';

import {FleetNode, NodeFleet} from './node_fleet.js';

const fleet = new NodeFleet();
before(() => fleet.start());
after(() => fleet.stop());

const JOB = {
  specification: 'text',
  steps: [
    {count: 4, cpu: 1000, memoryRequestMb: 500, estimatedMs: 300},
    {count: 2, cpu: 500, memoryRequestMb: 500, estimatedMs: 300, after: [0]},
  ],
};

let nextId = 1;
const newId = (): string => (nextId++).toString(16).padStart(16, '0');

/** Runs `banyanmux-node why` and returns its output. */
async function runWhy(...commandLine: string[]): Promise<string> {
  const script = 'build/src/node/banyanmux_node.js';
  const run = promisify(execFile);
  const {stdout} = await run(process.execPath, [script, 'why', ...commandLine]);
  return stdout;
}

async function waitForState(
  node: FleetNode,
  id: string,
  wanted: string,
): Promise<void> {
  let state: string | undefined;
  for (let round = 0; round < 300; round++) {
    ({state} = await fleet.call(node, 'GET', {id}));
    if (state === wanted) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  assert.fail(`job ${id} is in state ${state}, expected ${wanted}`);
}

test('a job submitted to one node is shown as succeeded by another', async () => {
  // Guards against a broken path between callers, nodes and workers.
  const id = newId();
  const [first, second] = fleet.nodes;
  const {status} = await fleet.call(first!, 'POST', {id, body: JOB});
  assert.equal(status, 200);
  await waitForState(second!, id, 'succeeded');
});

test('accepted jobs succeed although the owner is killed', async () => {
  // Guards against jobs and tasks lost or run twice when another node takes
  // over ownership.
  const ids = Array.from({length: 6}, newId);
  const {owner} = fleet;
  const others = fleet.nodes.filter((node) => node !== owner);
  for (const id of ids) {
    const {status} = await fleet.call(others[0]!, 'POST', {id, body: JOB});
    assert.equal(status, 200);
  }
  await owner.process.kill();
  for (const id of ids) await waitForState(others[1]!, id, 'succeeded');
  owner.process.start();
  await fleet.waitUntilReady(owner);
  assert.deepEqual(fleet.violations, []);
});

test('a job that no worker can run is explained by any node and by the logs', async () => {
  // Guards against a waiting job that an engineer cannot explain from the node
  // that is at hand, or from metrics and logs alone.
  const id = newId();
  const steps = [{...JOB.steps[0], cpu: 99_000}];
  const [first] = fleet.nodes;
  const body = {...JOB, steps};
  const submittedMs = performance.now();
  assert.equal((await fleet.call(first!, 'POST', {id, body})).status, 200);
  await new Promise((resolve) => setTimeout(resolve, 4000));
  for (const {metricsPort} of fleet.nodes) {
    const address = `127.0.0.1:${metricsPort}`;
    const output = await runWhy(id, '--address', address);
    const [, idleText] = /step 0\.0: waiting 4; idle for ([\d.]+) s/.exec(
      output,
    )!;
    const idleMs = Number(idleText) * 1000;
    assert.ok(idleMs >= 3000, output);
    assert.ok(idleMs <= performance.now() - submittedMs, output);
    assert.match(output, /excluded: cpu 4\n/);
  }
  const logs = fleet.nodes.map(({logFile}) => logFile);
  const life = await runWhy(id, '--logs', ...logs);
  assert.match(life, /accept how=stored/);
  assert.match(life, /job-waiting .*excluded=\{"cpu":4\}/);
  const metrics = await fetch(
    `http://127.0.0.1:${fleet.owner.metricsPort}/metrics`,
  );
  assert.match(await metrics.text(), /^banyanmux_idle_jobs 1$/m);
  await fleet.call(first!, 'DELETE', {id});
});

test('a stopping node serves requests that still arrive', async () => {
  // Guards against requests aborted by a planned stop.
  const node = fleet.nodes.find((other) => other !== fleet.owner)!;
  const stopped = node.process.terminate();
  const id = newId();
  const {status} = await fleet.call(node, 'POST', {id, body: JOB});
  assert.equal(status, 200);
  assert.equal(await stopped, 0);
  await waitForState(fleet.owner, id, 'succeeded');
});
