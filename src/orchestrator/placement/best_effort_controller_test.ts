import assert from 'node:assert/strict';
import {test} from 'node:test';

import {
  simpleJob,
  simpleStep,
  simpleWorker,
} from '../../../testing/simple_definitions.js';
import {SeededRandom} from '../../random/seeded_random.js';
import {StepDefinition} from '../../work/job_definition.js';
import {BestEffortController} from './best_effort_controller.js';
import {JobState} from '../jobs/job_state.js';
import {TaskState} from '../runs/task_state.js';
import {WorkerState} from '../workers/worker_state.js';

const CPU = 32_000;
const UNLOADED_TAIL_MS = 10;
const TARGET_MS = 50;
const LOAD_PERIOD_MS = 14_000;
const TICK_MS = 100;
const WINDOW_MS = 500;
const POLL_INTERVAL_MS = 700;
/** Poll interval in ms while the tail latency is near its limit. */
const NEAR_LIMIT_POLL_INTERVAL_MS = 500;

/** Simulated worker with one latency-critical and several best-effort tasks. */
class ColocatedWorker {
  readonly controller = new BestEffortController();
  readonly worker: WorkerState;
  /** Longest time in ms for which the true tail latency was over its target. */
  longestOverMs = 0;
  private readonly latencyCritical: TaskState;
  private readonly bestEffort: TaskState[] = [];
  private readonly speedLimits = new Map<TaskState, number>();
  private readonly random: SeededRandom;
  private loads: number[] = [];
  private overMs = 0;
  private lastPollMs = 0;
  private nowMs = TICK_MS;

  constructor(
    private readonly pressures: readonly number[],
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    const capacity = {cpuMillicores: CPU, memoryMb: CPU, acceleratorCount: 0};
    this.worker = new WorkerState(simpleWorker('w', {capacity}));
    this.latencyCritical = this.addTask('serving', {
      tailTargetMs: TARGET_MS,
      isLongRunning: true,
      image: 'serving',
    });
    this.latencyCritical.percent = 100;
    pressures.forEach((_, number) => {
      const task = this.addTask(`fill${number}`, {
        usesLeftoverCpu: true,
        cpuMillicores: 3500,
        image: `fill${number}`,
      });
      this.bestEffort.push(task);
      this.speedLimits.set(task, 100);
    });
  }

  /** Advances time to `untilMs`; the controller observes gauges and sets speed limits. */
  simulate(untilMs: number, phase: number): void {
    for (; this.nowMs <= untilMs; this.nowMs += TICK_MS) {
      const {nowMs} = this;
      const load = Math.min(0.97, this.loadAt(nowMs, phase));
      this.loads = [...this.loads, load].slice(-WINDOW_MS / TICK_MS);
      this.recordOver(load);
      if (nowMs % WINDOW_MS === 0) this.updateGauges();
      const pollIntervalMs = this.worker.isNearLimit
        ? NEAR_LIMIT_POLL_INTERVAL_MS
        : POLL_INTERVAL_MS;
      if (nowMs - this.lastPollMs >= pollIntervalMs) this.poll(nowMs);
    }
  }

  private loadAt(nowMs: number, phase: number): number {
    let load =
      0.45 + 0.225 * Math.sin((2 * Math.PI * nowMs) / LOAD_PERIOD_MS + phase);
    this.bestEffort.forEach((task, number) => {
      const share =
        (task.step.cpuMillicores / CPU) * this.speedLimits.get(task)!;
      load += (this.pressures[number]! * share) / 100;
    });
    return load;
  }

  private recordOver(load: number): void {
    const isOver = UNLOADED_TAIL_MS / (1 - load) > TARGET_MS;
    const isActive = [...this.speedLimits.values()].some(
      (percent) => percent > 0,
    );
    this.overMs = isOver && isActive ? this.overMs + TICK_MS : 0;
    this.longestOverMs = Math.max(this.longestOverMs, this.overMs);
  }

  private updateGauges(): void {
    const mean = this.loads.reduce((sum, load) => sum + load, 0);
    const noise = 0.88 + this.random.next() * 0.24;
    const tailMs = UNLOADED_TAIL_MS / (1 - mean / this.loads.length);
    this.latencyCritical.gauge = Math.round(tailMs * noise);
    for (const task of this.bestEffort) {
      task.gauge =
        (task.step.cpuMillicores * this.speedLimits.get(task)!) / 100;
    }
  }

  private poll(nowMs: number): void {
    this.lastPollMs = nowMs;
    this.controller.observe(this.worker, nowMs);
    const changes = this.controller.chooseSpeedLimits(this.worker, nowMs);
    for (const {task, percent} of changes) {
      task.speedLimitPercent = percent;
      this.speedLimits.set(task, percent);
    }
  }

  private addTask(id: string, fields: Partial<StepDefinition>): TaskState {
    const steps = [simpleStep(fields)];
    const job = new JobState(simpleJob(id, {steps}), 0);
    const [task] = job.occurrence(0).steps[0]!.tasks;
    task!.apply('assigned');
    task!.apply('committed');
    task!.apply('confirmed');
    task!.run = 1;
    this.worker.addTask(task!);
    return task!;
  }
}

test('best-effort tasks do not keep a tail latency over its target', () => {
  // The load of the latency-critical task rises to its peak while best-effort
  // tasks of different interference, such as one heavy and two light ones, run
  // on the same worker. Gauges lag by up to 1.2 s with 12% noise. Guards
  // against a controller that reacts too late to a rising load: more than 4 s
  // over the target is a violation.
  const mixes = [
    [3.2, 0.2, 0.2],
    [0.2, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2],
    [0.5, 0.5, 0.5, 0.5],
    [1.5, 1.5],
    [4, 3, 2, 2],
  ];
  for (const mix of mixes) {
    const results: number[] = [];
    for (let seed = 1; seed <= 60; seed++) {
      const bench = new ColocatedWorker(mix, seed);
      bench.simulate(45_000, seed * 0.7);
      results.push(bench.longestOverMs);
    }
    const worst = Math.max(...results);
    assert.ok(worst <= 4000, `${mix.join()}: over the target for ${worst} ms`);
  }
});

test('a worker without capacity for a time leaves all estimates finite', () => {
  // Guards against estimates for all workers that become unusable because the
  // capacity of one worker shrank to zero while best-effort tasks ran on it.
  const bench = new ColocatedWorker([2], 3);
  const {worker, controller} = bench;
  bench.simulate(4000, 0);
  const {capacity} = worker.registration;
  const none = {...capacity, cpuMillicores: 0};
  worker.register(simpleWorker('w', {capacity: none}));
  bench.simulate(6000, 0);
  worker.register(simpleWorker('w', {capacity}));
  bench.simulate(10_000, 0);
  const step = simpleStep({usesLeftoverCpu: true, image: 'fill0'});
  const {headroom, pressure} = controller.headroomFor(worker, step, 10_000);
  assert.ok(Number.isFinite(headroom) && Number.isFinite(pressure));
});
