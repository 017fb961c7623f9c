import {URGENCIES} from '../../src/contracts/urgency.js';
import {PlacementPolicy} from '../../src/placement/placement_policy.js';
import {PlacementRequest} from '../../src/placement/placement_request.js';
import {RandomSource} from '../../src/random/random_source.js';
import {Resources} from '../../src/workers/resources.js';

/**
 * Fraction of workers with accelerators: 37,000 accelerators on 22,000 workers,
 * as in section 1.4 of the design document.
 */
const ACCELERATOR_WORKER_FRACTION = 0.21;
const ACCELERATORS_PER_WORKER = 8;
const WORKERS_PER_RACK = 11;
const TASKS_PER_WORKER = 221_000 / 22_000;
const URGENT_FRACTION = 91_000 / 221_000;
const KINDS = 20;

/**
 * Drives a placement policy with workers and a steady replacement of tasks.
 * Tracks capacities itself, to detect workers that the policy overcommits.
 */
export class PlacementLoad {
  /** Number of workers that were found overcommitted. */
  violations = 0;
  evictions = 0;
  /** Number of tasks that the policy did not place. */
  refused = 0;
  private readonly capacities = new Map<string, Resources>();
  private readonly running: string[] = [];
  private nextTask = 0;

  constructor(
    private readonly policy: PlacementPolicy,
    private readonly options: {workers: number; random: RandomSource},
  ) {
    for (let i = 0; i < options.workers; i++) {
      const hasAccelerators =
        options.random.next() < ACCELERATOR_WORKER_FRACTION;
      const capacity = {
        processors: 32,
        memoryMegabytes: 125_000,
        accelerators: hasAccelerators ? ACCELERATORS_PER_WORKER : 0,
      };
      const rack = `r${Math.floor(i / WORKERS_PER_RACK)}`;
      policy.addWorker({worker: `w${i}`, rack, capacity});
      this.capacities.set(`w${i}`, capacity);
    }
  }

  /** Number of running tasks in the steady state. */
  get steadyTaskCount(): number {
    return Math.floor(this.options.workers * TASKS_PER_WORKER);
  }

  /** Current number of running tasks. */
  get runningCount(): number {
    return this.running.length;
  }

  /** Starts tasks until the steady state is reached or attempts run out. */
  fill(): void {
    for (let attempts = 0; attempts < this.steadyTaskCount * 1.2; attempts++) {
      if (this.running.length >= this.steadyTaskCount) return;
      this.startTask();
    }
  }

  /**
   * Ends one random task and starts another; returns the time in ms of the
   * placement decision.
   */
  replaceTask(): number {
    const {random} = this.options;
    if (this.running.length >= this.steadyTaskCount) {
      const index = random.nextInteger(this.running.length);
      const last = this.running.pop()!;
      const taskId = index < this.running.length ? this.running[index]! : last;
      if (index < this.running.length) this.running[index] = last;
      this.policy.release(taskId);
    }
    return this.startTask();
  }

  /** Counts the workers whose committed tasks exceed their capacity. */
  checkCapacities(): void {
    const used = new Map<string, Resources>();
    for (const taskId of this.running) {
      const task = this.policy.committed(taskId);
      if (!task) continue;
      const sum = used.get(task.worker) ?? {
        processors: 0,
        memoryMegabytes: 0,
        accelerators: 0,
      };
      sum.processors += task.resources.processors;
      sum.memoryMegabytes += task.resources.memoryMegabytes;
      sum.accelerators += task.resources.accelerators;
      used.set(task.worker, sum);
    }
    for (const [worker, sum] of used) {
      const capacity = this.capacities.get(worker)!;
      const exceedsCapacity =
        sum.processors > capacity.processors + 1e-6 ||
        sum.memoryMegabytes > capacity.memoryMegabytes + 1e-6 ||
        sum.accelerators > capacity.accelerators;
      if (exceedsCapacity) this.violations += 1;
    }
  }

  private startTask(): number {
    const request = this.createRequest();
    const startMs = performance.now();
    const placement = this.policy.place(request);
    const tookMs = performance.now() - startMs;
    if (!placement) {
      this.refused += 1;
      return tookMs;
    }
    for (const victim of placement.victims) this.evict(victim);
    const {worker} = placement;
    this.policy.commit({...request, worker, lostWorkMs: this.nextTask % 9000});
    this.running.push(request.taskId);
    return tookMs;
  }

  /**
   * Linear search is acceptable, because evictions are rare compared with
   * starts.
   */
  private evict(taskId: string): void {
    this.policy.release(taskId);
    this.evictions += 1;
    const index = this.running.indexOf(taskId);
    if (index >= 0) this.running.splice(index, 1);
  }

  private createRequest(): PlacementRequest {
    const {random} = this.options;
    const number = this.nextTask++;
    const isUrgent = random.next() < URGENT_FRACTION;
    const isReplica = random.next() < 0.05;
    return {
      taskId: `t${number}`,
      customer: `c${random.nextInteger(280)}`,
      kind: `k${random.nextInteger(KINDS)}`,
      urgency: isUrgent ? URGENCIES[0]! : URGENCIES[1 + random.nextInteger(2)]!,
      resources: {
        processors: Math.round((0.5 + 4.6 * random.next()) * 10) / 10,
        memoryMegabytes: 1000 + random.nextInteger(18_000),
        accelerators: random.next() < 0.08 ? 1 + random.nextInteger(2) : 0,
      },
      spreadGroup: isReplica ? `g${Math.floor(number / 60)}` : undefined,
      runTimeMs: 60_000,
      value: 1 + random.nextInteger(3),
    };
  }
}
