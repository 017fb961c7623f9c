import {performance} from 'node:perf_hooks';

import {ManualClock} from '../../src/clock/manual_clock.js';
import {PartitionKeys} from '../../src/leadership/partition_keys.js';
import {JobState} from '../../src/orchestrator/jobs/job_state.js';
import {Orchestrator} from '../../src/orchestrator/orchestrator.js';
import {TaskState} from '../../src/orchestrator/runs/task_state.js';
import {
  EndKind,
  EndReport,
} from '../../src/orchestrator/workers/worker_port.js';
import {WorkerState} from '../../src/orchestrator/workers/worker_state.js';
import {RandomSource} from '../../src/random/random_source.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {applyPending} from '../../testing/apply_pending.js';
import {idleEffects} from '../../testing/idle_effects.js';
import {silentLog} from '../../testing/silent_log.js';
import {
  simpleConfiguration,
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../testing/simple_definitions.js';
import {Scenario} from '../scenario.js';

const SIZES = [45, 343, 1000] as const;

/** Sizes at which a burst beyond the capacity of the workers is measured. */
const OVERLOADED_SIZES = [343, 625] as const;

/** Job rate of a burst as a multiple of the usual rate. */
const BURST_FACTOR = 2.6;

/** Load per worker, as in the users' enlarged deployment. */
const JOBS_PER_WORKER_SECOND = 0.076;
const SERVING_TASKS_PER_WORKER = 5;
const SERVING_TASKS_PER_JOB = 14;
const TASKS_PER_FILL_STEP = 20;
const FILL_IMAGES = 9;

const TIME_STEP_MS = 10;
const REPORT_INTERVAL_MS = 700;
const LEASE_MS = 6000;
const DURATION_SECONDS = 5;

/**
 * Measures the CPU time of one owner's decisions at several sizes, without I/O.
 */
export const runOwnerLoad: Scenario = (options) => {
  const sizes: Record<string, OwnerCost> = {};
  for (const workers of SIZES) {
    options.progress(`${workers} workers`);
    sizes[workers] = new OwnerBench(workers, options.seed).run();
  }
  const overloaded: Record<string, OwnerCost> = {};
  for (const workers of OVERLOADED_SIZES) {
    options.progress(`${workers} workers, overloaded`);
    const bench = new OwnerBench(workers, options.seed, BURST_FACTOR);
    overloaded[workers] = bench.run();
  }
  return Promise.resolve({violations: 0, sizes, overloaded});
};

interface OwnerCost {
  /** Average number of cores used by all decisions. */
  cores: number;
  /** Cores used to schedule waiting jobs. */
  scheduleCores: number;
  /** Cores used to process worker reports. */
  reportCores: number;
  /** Cores used by periodic work. */
  tickCores: number;
  startsPerSecond: number;
  /** Number of waiting tasks at the end. */
  waiting: number;
}

/** Drives one orchestrator with simulated workers and simulated time. */
class OwnerBench {
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly random: RandomSource;
  private readonly orchestrator: Orchestrator;
  private readonly endReports = new Map<WorkerState, EndReport[]>();
  private readonly endTimesMs = new Map<TaskState, number>();
  private readonly spentMs = {schedule: 0, report: 0, tick: 0};
  private starts = 0;
  private jobs = 0;

  constructor(
    private readonly workerCount: number,
    seed: number,
    private readonly loadFactor = 1,
  ) {
    this.random = new SeededRandom(seed);
    this.orchestrator = new Orchestrator({
      clock: this.clock,
      log: silentLog(),
      keys: new PartitionKeys('main'),
      longestLeaseMs: 6000,
      keepFinishedMs: 120_000,
      previousTermLeaseMs: 0,
      effects: idleEffects({
        start: (task) => this.startTask(task),
        stop: (task, worker) => this.endTask(task, worker, EndKind.STOPPED),
      }),
    });
    this.orchestrator.configure(simpleConfiguration());
    for (let number = 0; number < workerCount; number++) {
      const capacity = {
        cpuMillicores: 32_000,
        memoryMb: 128_000,
        acceleratorCount: 0,
      };
      const entry = simpleWorker(`w${number}`, {capacity});
      this.orchestrator.upsertWorker(entry);
    }
  }

  run(): OwnerCost {
    this.reportWorkers();
    this.submitServingJobs();
    for (
      let elapsedMs = 0;
      elapsedMs < DURATION_SECONDS * 1000;
      elapsedMs += TIME_STEP_MS
    ) {
      this.clock.advance(TIME_STEP_MS);
      this.submitFillJobs();
      this.measureTime('tick', () => this.orchestrator.tick());
      this.measureTime('schedule', () => this.orchestrator.schedule());
      applyPending(this.orchestrator.takePending());
      this.finishDueTasks();
      this.reportWorkers();
    }
    const {schedule, report, tick} = this.spentMs;
    const cores = (spentMs: number): number =>
      round(spentMs / DURATION_SECONDS / 1000);
    return {
      cores: cores(schedule + report + tick),
      scheduleCores: cores(schedule),
      reportCores: cores(report),
      tickCores: cores(tick),
      startsPerSecond: Math.round(this.starts / DURATION_SECONDS),
      waiting: [...this.orchestrator.jobs.values()]
        .flatMap((job) => [...job.tasks()])
        .filter(({state}) => state === 'waiting').length,
    };
  }

  private measureTime(
    part: keyof typeof this.spentMs,
    action: () => void,
  ): void {
    const startMs = performance.now();
    action();
    this.spentMs[part] += performance.now() - startMs;
  }

  private submitServingJobs(): void {
    const tasks = this.workerCount * SERVING_TASKS_PER_WORKER;
    for (let placed = 0; placed < tasks; placed += SERVING_TASKS_PER_JOB) {
      this.submit(
        simpleStep({
          taskCount: SERVING_TASKS_PER_JOB,
          cpuMillicores: 5600,
          memoryMb: 8000,
          isLongRunning: true,
          image: `serving-${this.jobs % 5}`,
          tailTargetMs: 50,
        }),
      );
    }
  }

  private submitFillJobs(): void {
    const jobsPerStep =
      (JOBS_PER_WORKER_SECOND *
        this.loadFactor *
        this.workerCount *
        TIME_STEP_MS) /
      1000;
    for (
      let expected = jobsPerStep;
      expected > this.random.next();
      expected -= 1
    ) {
      this.submit(
        simpleStep({
          taskCount: TASKS_PER_FILL_STEP,
          cpuMillicores: 2500 + this.random.nextInteger(2000),
          memoryMb: 6000,
          estimatedMs: 1700,
          image: `fill-${this.random.nextInteger(FILL_IMAGES)}`,
          usesLeftoverCpu: true,
          isCheckpointed: true,
        }),
      );
    }
  }

  private submit(step: ReturnType<typeof simpleStep>): void {
    const definition = simpleJob(`job${this.jobs++}`, {steps: [step]});
    const job = new JobState(definition, this.clock.wallMs());
    this.orchestrator.addJob(job);
  }

  private startTask(task: TaskState): void {
    this.starts += 1;
    this.orchestrator.handleStartOutcome(task, task.run, {kind: 'done'});
    if (task.step.isLongRunning) return;
    const durationMs = 1000 + this.random.next() * 1500;
    this.endTimesMs.set(task, this.clock.nowMs() + durationMs);
  }

  private finishDueTasks(): void {
    for (const [task, endMs] of this.endTimesMs) {
      if (endMs > this.clock.nowMs()) continue;
      const worker = this.orchestrator.workers.get(
        task.assignment?.workerId ?? '',
      );
      if (worker) this.endTask(task, worker, EndKind.DONE);
    }
  }

  private endTask(task: TaskState, worker: WorkerState, kind: EndKind): void {
    this.endTimesMs.delete(task);
    const ends = this.endReports.get(worker) ?? [];
    this.endReports.set(worker, ends);
    ends.push({
      sequence: worker.processedSequence + ends.length + 1,
      task: task.name,
      run: task.run,
      kind,
      checkpoint: '',
    });
  }

  /**
   * Sends reports of workers with an ended task or an elapsed report interval.
   */
  private reportWorkers(): void {
    const nowMs = this.clock.nowMs();
    for (const worker of this.orchestrator.workers.values()) {
      const ended = this.endReports.get(worker) ?? [];
      const isDue = nowMs - worker.lastReportMs >= REPORT_INTERVAL_MS;
      if (ended.length === 0 && !isDue) continue;
      this.endReports.delete(worker);
      const endedTasks = new Set(ended.map(({task}) => task));
      const running = [...worker.tasks]
        .filter(({state, name}) => state === 'running' && !endedTasks.has(name))
        .map((task) => ({
          task: task.name,
          run: task.run,
          checkpoint: '',
          percent: task.step.isLongRunning ? 100 : this.random.nextInteger(100),
          gauge: task.step.isLongRunning
            ? 12 + this.random.nextInteger(20)
            : task.step.cpuMillicores,
        }));
      const report = {clockMs: nowMs, bornMs: 1, running, ended};
      this.measureTime('report', () =>
        this.orchestrator.processReport(worker, report, nowMs),
      );
      worker.recordLease(worker.leaseLimit(nowMs, LEASE_MS));
    }
  }
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
