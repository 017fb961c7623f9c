import assert from 'node:assert/strict';
import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {after, test} from 'node:test';

import {runCommand} from 'citty';

import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {simpleJob, simpleWorker} from '../../testing/simple_definitions.js';
import {createMetricsListener} from '../node/metrics_listener.js';
import {GatewayResult} from '../node/gateway_result.js';
import {NodeMetrics} from '../node/node_metrics.js';
import {JobState} from '../orchestrator/jobs/job_state.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {whyCommand} from './why_command.js';

const servers: Server[] = [];
after(() => {
  for (const server of servers) server.close();
});

/** Serves the metrics address of a node that explains jobs in a given way. */
async function serve(
  explain: (jobId: string) => Promise<GatewayResult>,
): Promise<string> {
  const server = createServer(
    createMetricsListener({
      metrics: new NodeMetrics(() => ({owner: 1})),
      gateway: {explain},
      node: 'n1',
      evacuations: () => [],
      ownerName: () => 'n2',
    }),
  );
  servers.push(server);
  await new Promise<void>((resolve) =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function runWhy(...rawArgs: string[]): Promise<string> {
  let output = '';
  const write = (text: string): void => void (output += text);
  await runCommand(whyCommand({write}), {rawArgs});
  return output;
}

test('the command shows why a job waits and which workers are excluded', async () => {
  // Guards against an engineer who cannot tell a full fleet from workers that
  // are excluded for another reason.
  const orchestrator = createOrchestrator();
  orchestrator.upsertWorker(simpleWorker('w1'));
  for (const id of ['w2', 'w3']) {
    orchestrator.upsertWorker(simpleWorker(id, {service: 'other'}));
  }
  orchestrator.addJob(new JobState(simpleJob('job'), 0));
  const address = await serve((jobId) =>
    Promise.resolve({
      code: ResultCodes.OK,
      explanation: orchestrator.explain(jobId),
    }),
  );
  const output = await runWhy('job', '--address', address);
  assert.match(output, /job job: queued, queue queue, service service/);
  assert.match(output, /step 0\.0: waiting 1; idle for 0\.0 s/);
  assert.match(output, /workers: suitable 0, withRoom 1/);
  assert.match(output, /excluded: other-service 2, not-reported 1/);
  const json = JSON.parse(
    await runWhy('job', '--address', address, '--json'),
  ) as {explanation: {job: string}};
  assert.equal(json.explanation.job, 'job');
});

test('the command tells if the owner does not know a job or does not answer', async () => {
  // Guards against a job that nobody schedules being taken for one that waits.
  const codes = [ResultCodes.NOT_FOUND, ResultCodes.NO_OWNER];
  for (const code of codes) {
    const address = await serve(() => Promise.resolve({code, phase: 'queued'}));
    const output = await runWhy('job', '--address', address);
    assert.match(output, new RegExp(`^${code.name}: `));
    assert.match(output, /asked n1; owner n2; phase queued/);
  }
});

test('an unexpected error is shown to the engineer', async () => {
  // Guards against a request without an answer, and a process that ends.
  const address = await serve(() => Promise.reject(new Error('unexpected')));
  const output = await runWhy('job', '--address', address);
  assert.match(output, /^INTERNAL: unexpected/);
});

test('missing or wrong arguments are refused', async () => {
  // Guards against a request for a path other than that of a job.
  const wrong = [['job'], ['../metrics', '--address', '127.0.0.1:1']];
  for (const rawArgs of wrong) {
    await assert.rejects(
      runWhy(...rawArgs),
      (error: ResultError) => error.code === ResultCodes.BAD_REQUEST,
    );
  }
});
