import {ManualClock} from '../../src/clock/manual_clock.js';
import {JobState} from '../../src/orchestrator/jobs/job_state.js';
import {Orchestrator} from '../../src/orchestrator/orchestrator.js';
import {createJobOrder} from '../../src/orchestrator/jobs/create_job_order.js';
import {TaskState} from '../../src/orchestrator/runs/task_state.js';
import {EndReport} from '../../src/orchestrator/workers/worker_port.js';
import {RandomSource} from '../../src/random/random_source.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {applyPending} from '../../testing/apply_pending.js';
import {createOrchestrator} from '../../testing/create_orchestrator.js';
import {idleEffects} from '../../testing/idle_effects.js';
import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../testing/simple_definitions.js';

/** Options of {@link runRoomModel}. */
export interface RoomModelOptions {
  seed: number;
  /** CPU that arrives, as a multiple of what the workers have. */
  load: number;
  looksAhead: boolean;
  /** @default 12 */
  workers?: number;
  /** Time in ms for which jobs arrive. @default 20000 */
  arrivalsMs?: number;
}

/** How long tasks waited for room, and what was used. */
export interface RoomModelResult {
  /** Mean wait in ms of tasks that need a whole worker. */
  largeWaitMs: number;
  /** Longest such wait in ms. */
  longestWaitMs: number;
  /** Mean wait in ms of small tasks. */
  smallWaitMs: number;
  /** Share of the CPU in use while jobs arrived. */
  used: number;
  /** Time in ms of the processor for one pass. */
  passMs: number;
}

const STEP_MS = 20;
const REPORT_MS = 100;
const LEASE_MS = 6000;
const WORKER_CPU = 8000;
const SMALL_CPU = 1000;
const MEAN_SMALL_MS = 1000;
const MEAN_LARGE_MS = 2000;
/** Share of the CPU time that large tasks take. */
const LARGE_SHARE = 0.15;

interface Run {
  task: TaskState;
  workerId: string;
  endMs: number;
}

/** Small tasks of one core and large ones of a whole worker on few workers. */
class RoomModel {
  private readonly clock = new ManualClock({startMs: 0, wallStartMs: 0});
  private readonly random: RandomSource;
  private readonly running = new Set<Run>();
  private readonly sequences = new Map<string, number>();
  private readonly waitsMs = {small: [] as number[], large: [] as number[]};
  private readonly orchestrator: Orchestrator;
  private usedCpuMs = 0;
  private passes = 0;
  private passesMs = 0;
  private jobs = 0;

  constructor(private readonly options: RoomModelOptions) {
    this.random = new SeededRandom(options.seed);
    this.orchestrator = createOrchestrator({
      ...createJobOrder('learned-deadline'),
      looksAhead: options.looksAhead,
      clock: this.clock,
      keepFinishedMs: 1,
      effects: idleEffects({start: (task) => this.start(task)}),
    });
    for (let number = 0; number < this.workerCount; number++) {
      const id = `w${number}`;
      const capacity = {
        cpuMillicores: WORKER_CPU,
        memoryMb: 64_000,
        acceleratorCount: 0,
      };
      const address = `${id}:1`;
      this.orchestrator.upsertWorker(simpleWorker(id, {address, capacity}));
    }
  }

  run(): RoomModelResult {
    const {arrivalsMs = 20_000, load} = this.options;
    const capacity = this.workerCount * WORKER_CPU;
    const smallPerMs =
      (load * (1 - LARGE_SHARE) * capacity) / (SMALL_CPU * MEAN_SMALL_MS);
    const largePerMs =
      (load * LARGE_SHARE * capacity) / (WORKER_CPU * MEAN_LARGE_MS);
    for (let nowMs = 0; nowMs < 2 * arrivalsMs; nowMs += STEP_MS) {
      if (nowMs < arrivalsMs) {
        this.arrive(smallPerMs, SMALL_CPU, MEAN_SMALL_MS);
        this.arrive(largePerMs, WORKER_CPU, MEAN_LARGE_MS);
        this.usedCpuMs += this.usedCpu() * STEP_MS;
      }
      this.clock.advance(STEP_MS);
      this.report(nowMs % REPORT_MS === 0);
      this.pass();
    }
    const {small, large} = this.waitsMs;
    return {
      largeWaitMs: mean(large),
      longestWaitMs: Math.max(...large),
      smallWaitMs: mean(small),
      used: this.usedCpuMs / (capacity * arrivalsMs),
      passMs: this.passesMs / this.passes,
    };
  }

  private get workerCount(): number {
    return this.options.workers ?? 12;
  }

  private arrive(
    ratePerMs: number,
    cpuMillicores: number,
    meanMs: number,
  ): void {
    const expected = ratePerMs * STEP_MS;
    let count = Math.floor(expected);
    if (this.random.next() < expected - count) count += 1;
    for (let job = 0; job < count; job++) {
      const estimatedMs = meanMs * (0.5 + this.random.next());
      const steps = [simpleStep({cpuMillicores, estimatedMs, memoryMb: 10})];
      const definition = simpleJob(`job${this.jobs++}`, {steps});
      this.orchestrator.addJob(new JobState(definition, this.clock.wallMs()));
    }
  }

  private start(task: TaskState): void {
    const nowMs = this.clock.nowMs();
    const isLarge = task.step.cpuMillicores === WORKER_CPU;
    const waits = isLarge ? this.waitsMs.large : this.waitsMs.small;
    waits.push(nowMs - task.job.knownSinceMs);
    const endMs =
      nowMs + task.step.estimatedMs * (0.7 + 0.6 * this.random.next());
    const {workerId} = task.assignment!;
    this.running.add({task, workerId, endMs});
  }

  /** Reports each worker on which a run has ended, or all of them. */
  private report(isAll: boolean): void {
    const nowMs = this.clock.nowMs();
    const endsById = new Map<string, EndReport[]>();
    for (const run of this.running) {
      const {task, workerId, endMs} = run;
      if (task.state === 'starting') {
        this.orchestrator.handleStartOutcome(task, task.run, {kind: 'done'});
      }
      if (endMs > nowMs) continue;
      this.running.delete(run);
      const sequence = (this.sequences.get(workerId) ?? 0) + 1;
      this.sequences.set(workerId, sequence);
      const ends = endsById.get(workerId) ?? [];
      ends.push({
        sequence,
        task: task.name,
        run: task.run,
        kind: 'done',
        checkpoint: '',
      });
      endsById.set(workerId, ends);
    }
    const stillRunning = [...this.running];
    for (const [id, worker] of this.orchestrator.workers) {
      const ended = endsById.get(id) ?? [];
      if (!isAll && ended.length === 0) continue;
      const running = stillRunning
        .filter(({workerId}) => workerId === id)
        .map(({task}) => ({
          task: task.name,
          run: task.run,
          checkpoint: '',
          percent: Math.floor(nowMs / 10) % 100,
          gauge: undefined,
        }));
      const report = {clockMs: nowMs, bornMs: 1, running, ended};
      this.orchestrator.processReport(worker, report, nowMs);
      worker.recordLease(worker.leaseLimit(nowMs, LEASE_MS));
    }
  }

  private pass(): void {
    const startMs = performance.now();
    this.orchestrator.tick();
    this.orchestrator.schedule();
    this.passesMs += performance.now() - startMs;
    this.passes += 1;
    applyPending(this.orchestrator.takePending());
  }

  private usedCpu(): number {
    let cpu = 0;
    for (const {task} of this.running) cpu += task.step.cpuMillicores;
    return cpu;
  }
}

/**
 * Models small tasks that keep nearly all room in use, and large ones that need
 * a whole worker, with the decisions of an owner and simulated time.
 */
export function runRoomModel(options: RoomModelOptions): RoomModelResult {
  return new RoomModel(options).run();
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
