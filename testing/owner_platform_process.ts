import {createServer, IncomingMessage, ServerResponse} from 'node:http';

import {sleep} from '../src/clock/sleep.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {JobDefinition, StepDefinition} from '../src/work/job_definition.js';
import {encodeSubmission} from '../src/work/job_records.js';
import {simpleJob, simpleStep} from './simple_definitions.js';
import {readJson, writeJson} from './stand_in_http.js';
import {StoreStandIn} from './store_stand_in.js';
import {
  listenFor,
  LoadWorker,
  WorkerCall,
  WorkerCounts,
} from './load_worker.js';

/** Store, workers and callers of a measured owner, in one process. */

/** The only command-line argument, as JSON. */
export interface PlatformArgument {
  storePort: number;
  workers: number;
  seed: number;
}

/** Message to the parent process with the counts since the start. */
export interface PlatformCounts extends WorkerCounts {
  commits: number;
  /** Total size of the values that commits wrote. */
  committedBytes: number;
  jobs: number;
}

/** Time in ms that each answer takes on the way, as between data centres. */
const NETWORK_DELAY_MS = 5;

/** Load per worker and second, as on the users' large site. */
const INTERACTIVE_JOBS_PER_WORKER_SECOND = 0.014;
const BATCH_JOBS_PER_WORKER_SECOND = 0.017;
const SERVING_JOBS_PER_WORKER = 0.28;

const SUBMISSION_INTERVAL_MS = 20;
const REPORT_INTERVAL_MS = 100;
const MS_PER_SECOND = 1000;

const argument = JSON.parse(process.argv[2]!) as PlatformArgument;
const random = new SeededRandom(argument.seed);
const keys = new PartitionKeys('main');
const store = new StoreStandIn();
const workers = new Map<string, LoadWorker>();
const counts: WorkerCounts = {
  starts: 0,
  stops: 0,
  speedLimits: 0,
  polls: 0,
  ends: 0,
};
let jobCount = 0;

function put(key: string, value: unknown): void {
  store.store.put(key, Buffer.from(JSON.stringify(value)));
}

function publishConfiguration(): void {
  const route = {host: 'h', service: 'service', maxAttempts: 3, stretch: 2};
  const routes = [
    {...route, name: 'interactive', prefix: '/i/', priority: 0},
    {...route, name: 'batch', prefix: '/b/', priority: 2},
    {...route, name: 'serving', prefix: '/s/', priority: 0},
  ];
  const services = [{name: 'service', admissionCheck: true}];
  put('op/config', {version: 1, routes, services});
}

async function handleCall(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const call = (await readJson(request)) as WorkerCall;
  const worker = workers.get(String(request.headers['expected-instance']));
  const answer = await worker!.handle(request.url ?? '', call);
  await sleep(NETWORK_DELAY_MS);
  writeJson(response, answer.status, answer.body);
}

async function addWorkers(): Promise<void> {
  const server = createServer((request, response) => {
    void handleCall(request, response);
  });
  server.keepAliveTimeout = 0;
  for (let number = 0; number < argument.workers; number++) {
    const id = `i-${number.toString(16).padStart(10, '0')}`;
    workers.set(id, new LoadWorker(random, counts));
    put(`servers/${id}`, {
      service: 'service',
      address: await listenFor(server),
      zone: 'levis',
      state: 'ready',
      capacity: {cpu: 32_000, memoryRequestMb: 128_000, gpu: 0},
      labels: ['general', `r${number % 20}`],
      born: 1,
    });
  }
}

function submit(fields: Partial<JobDefinition>): void {
  jobCount += 1;
  const id = jobCount.toString(16).padStart(16, '0');
  const definition = simpleJob(id, fields);
  const record = encodeSubmission({definition, acceptedWallMs: Date.now()});
  store.store.put(keys.submission(id), record);
}

function submitInteractive(): void {
  const step = {taskCount: 9, cpuMillicores: 11_000, memoryMb: 22_000};
  const fields = {...step, estimatedMs: 800};
  submit({
    queue: 'interactive',
    specification: '800',
    steps: [simpleStep(fields), simpleStep({...fields, after: [0]})],
  });
}

function submitBatch(): void {
  const step: Partial<StepDefinition> = {
    taskCount: 39,
    cpuMillicores: 3500,
    memoryMb: 6400,
    estimatedMs: 2700,
    image: `fill-${random.nextInteger(30)}`,
    usesLeftoverCpu: true,
    isCheckpointed: true,
  };
  const steps = [simpleStep(step), simpleStep({...step, after: [0]})];
  submit({queue: 'batch', specification: '2700', steps});
}

function submitServing(): void {
  const step = simpleStep({
    taskCount: 24,
    cpuMillicores: 3200,
    memoryMb: 4000,
    isLongRunning: true,
    image: `serving-${random.nextInteger(16)}`,
    tailTargetMs: 50,
  });
  submit({queue: 'serving', specification: '0', steps: [step]});
}

/** Calls an action so often that it happens `perSecond` times on average. */
function submitAtRate(perSecond: number, action: () => void): void {
  const expected = (perSecond * SUBMISSION_INTERVAL_MS) / MS_PER_SECOND;
  for (let left = expected; left > random.next(); left -= 1) action();
}

function startLoad(): void {
  const {workers: size} = argument;
  for (let job = 0; job < size * SERVING_JOBS_PER_WORKER; job++) {
    submitServing();
  }
  setInterval(() => {
    submitAtRate(size * INTERACTIVE_JOBS_PER_WORKER_SECOND, submitInteractive);
    submitAtRate(size * BATCH_JOBS_PER_WORKER_SECOND, submitBatch);
  }, SUBMISSION_INTERVAL_MS);
}

/** Delays commits and counts them. */
function observeCommits(): {commits: number; committedBytes: number} {
  const observed = {commits: 0, committedBytes: 0};
  const commit = store.store.commit.bind(store.store);
  store.store.commit = async (transaction) => {
    observed.commits += 1;
    for (const {value} of transaction.write) {
      observed.committedBytes += value.length;
    }
    const result = await commit(transaction);
    await sleep(NETWORK_DELAY_MS);
    return result;
  };
  return observed;
}

const observed = observeCommits();
await store.listen(argument.storePort);
publishConfiguration();
await addWorkers();
process.on('message', startLoad);
process.on('disconnect', () => process.exit(0));
setInterval(() => {
  process.send?.({...counts, ...observed, jobs: jobCount});
}, REPORT_INTERVAL_MS);
