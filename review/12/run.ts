import {
  Harness,
  isTroubled,
  runCase,
  sleep,
  Verdict,
} from '../stand_ins_3/harness.js';

const EXECUTORS = 8;
const JOB = '8f3b0d54ac7e6921';

/** Bounds of the site file. */
const CANCEL_MS = 3000;

/** Time in ms for which the client waits (`Deadline-Milliseconds`). */
const DEADLINE_MS = 3000;

/** Time in ms after which writes are carried out (`platform_lost`, late). */
const LATE_MS = 6000;

/** Duration in ms of each step of the job. */
const STEP_MS = 8000;

/** Time in ms for which runs of the job are looked for after its cancelling. */
const WATCHED_MS = 20_000;

/** Interval in ms at which other jobs come. */
const OTHER_JOBS_MS = 300;

const LABELS = {labels: ['a', 'rack-1']};
const OTHER = {count: 1, cpu: 500, memoryRequestMb: 500, estimatedMs: 500};

/**
 * A client gets no answer to its job until its deadline, and cancels the job
 * through another node. Nothing of the job may start later than `cancel_ms` after the
 * answer to that.
 */
async function check(harness: Harness): Promise<Verdict> {
  await harness.start({nodes: 3, maxAttempts: 4});
  for (let number = 1; number <= EXECUTORS; number++) {
    await harness.startExecutor(`i-${number}`, LABELS);
  }
  await harness.waitUntilReady();
  await sleep(3000);
  let cancelledMs = Infinity;
  let lateStarts = 0;
  harness.onEvent = ({what, task}) => {
    if (what !== 'start' || !task.startsWith(JOB)) return;
    if (performance.now() - cancelledMs > CANCEL_MS) lateStarts += 1;
  };
  const others = sendOthers(harness);
  await sleep(1000);
  const {store} = harness;
  const before = {...store.counts};
  if (isTroubled) store.delayWrites(JOB, LATE_MS);
  const step = {...OTHER, estimatedMs: STEP_MS};
  const steps = [step, {...step, after: [0]}, {...step, after: [1]}];
  const specification = JSON.stringify({workMs: STEP_MS});
  const leavesAfterMs = DEADLINE_MS;
  await harness.call('POST', JOB, {specification, steps}, {leavesAfterMs});
  const {status} = await harness.call('DELETE', JOB, undefined, {node: 1});
  cancelledMs = performance.now();
  store.delayWrites('');
  const writes = store.counts.writes - before.writes;
  const late = store.counts.late - before.late;
  harness.record(`writes so far: ${writes}, without an answer: ${late}`);
  if (status !== 410 && status !== 200) return Verdict.NOT_RUN;
  await sleep(WATCHED_MS);
  await harness.stateOf(JOB);
  others.stop();
  harness.record(`starts later than ${CANCEL_MS} ms: ${lateStarts}`);
  return lateStarts > 0 ? Verdict.BROKEN : Verdict.HELD;
}

/** Submits other jobs at an interval until it is stopped. */
function sendOthers(harness: Harness): {stop: () => void} {
  let number = 0;
  const timer = setInterval(() => {
    const id = (0x4b00_0000_0000_0000n + BigInt(number++)).toString(16);
    void harness.submit(id, [OTHER], {workMs: 500});
  }, OTHER_JOBS_MS);
  return {stop: () => clearInterval(timer)};
}

await runCase('review/12/record.txt', check);
