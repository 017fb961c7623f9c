import {sleep} from '../src/clock/sleep.js';
import {RandomSource} from '../src/random/random_source.js';
import {JobDefinition, StepDefinition} from '../src/work/job_definition.js';
import {parseTaskName} from '../src/work/task_name.js';
import {dueTasks} from './due_tasks.js';
import {
  IdleCapacityCheck,
  SampledTask,
  SampledWorker,
} from './idle_capacity_check.js';
import {FleetWorker, LONG_RUNNING_JOB_PREFIX, NodeFleet} from './node_fleet.js';
import {simpleJob, simpleStep} from './simple_definitions.js';

/** Options of {@link SoakCalmPhase}. */
export interface SoakCalmPhaseOptions {
  fleet: NodeFleet;
  random: RandomSource;
  /** Jobs that were accepted before and not cancelled. */
  jobs: readonly JobDefinition[];
}

/** Duration in ms; the check applies from 7 s without faults. */
const DURATION_MS = 12_000;

/** Time in ms between two samples of the workers. */
const SAMPLE_INTERVAL_MS = 100;

/** Time in ms between two jobs that are submitted. */
const SUBMIT_INTERVAL_MS = 1500;

/** CPU in millicores to which a worker shrinks for the phase. */
const SHRUNKEN_CPU = [0, 500, 2000] as const;

/** Prefix of the ids of the jobs of this phase that end by themselves. */
const JOB_PREFIX = 'ca1';

/** A step as callers submit it, and as it is understood. */
interface SubmittedStep {
  body: object;
  definition: Partial<StepDefinition>;
}

const SMALL: SubmittedStep = {
  body: {count: 2, cpu: 500, memoryRequestMb: 500, estimatedMs: 300},
  definition: {taskCount: 2, cpuMillicores: 500, memoryMb: 500},
};

const WIDE: SubmittedStep = {
  body: {count: 2, cpu: 4000, memoryRequestMb: 4000, estimatedMs: 300},
  definition: {taskCount: 2, cpuMillicores: 4000, memoryMb: 4000},
};

const SERVING: SubmittedStep = {
  body: {...SMALL.body, longRunning: true, targetMs: 50, image: 'serving'},
  definition: {
    ...SMALL.definition,
    isLongRunning: true,
    tailTargetMs: 50,
    image: 'serving',
  },
};

const LIMITED: SubmittedStep = {
  body: {...SMALL.body, longRunning: true, antiAffinity: 1},
  definition: {...SMALL.definition, isLongRunning: true, mostPerWorker: 1},
};

const BEST_EFFORT: SubmittedStep = {
  body: {...WIDE.body, fills: true, image: 'fill'},
  definition: {...WIDE.definition, usesLeftoverCpu: true, image: 'fill'},
};

const KINDS: readonly SubmittedStep[] = [
  SERVING,
  BEST_EFFORT,
  LIMITED,
  WIDE,
  SMALL,
];

/**
 * Phase of a soak run after its faults, with jobs of all kinds and workers that
 * have shrunk. Checks that no task waits beside idle capacity.
 */
export class SoakCalmPhase {
  private readonly check = new IdleCapacityCheck();
  private readonly jobs = new Map<string, JobDefinition>();
  /** Ids of the accepted jobs of this phase. */
  private readonly accepted: string[] = [];

  constructor(private readonly options: SoakCalmPhaseOptions) {
    for (const job of options.jobs) this.jobs.set(job.id, job);
  }

  /** Runs the phase; returns descriptions of the violations. */
  async run(): Promise<string[]> {
    const {workers} = this.options.fleet;
    const full = workers.map(({cpuMillicores}) => cpuMillicores);
    for (const worker of workers.slice(1)) this.shrinkSometimes(worker);
    const [violations] = await Promise.all([this.sample(), this.submitJobs()]);
    workers.forEach((worker, number) =>
      this.options.fleet.resizeWorker(worker, full[number]!),
    );
    await this.cancelJobs();
    return violations;
  }

  private shrinkSometimes(worker: FleetWorker): void {
    const {fleet, random} = this.options;
    if (random.next() < 0.4) return;
    const position = random.nextInteger(SHRUNKEN_CPU.length);
    fleet.resizeWorker(worker, SHRUNKEN_CPU[position]!);
  }

  private async submitJobs(): Promise<void> {
    for (let ms = 0; ms < DURATION_MS; ms += SUBMIT_INTERVAL_MS) {
      await this.submit(ms / SUBMIT_INTERVAL_MS);
      await sleep(SUBMIT_INTERVAL_MS);
    }
  }

  private async submit(number: number): Promise<void> {
    const {fleet, random} = this.options;
    const {body, definition} = KINDS[number % KINDS.length]!;
    const prefix = definition.isLongRunning
      ? LONG_RUNNING_JOB_PREFIX
      : JOB_PREFIX;
    const digits = 16 - prefix.length;
    const id = prefix + number.toString(16).padStart(digits, '0');
    const node = fleet.nodes[random.nextInteger(fleet.nodes.length)]!;
    const call = {id, body: {specification: id, steps: [body]}};
    const {status} = await fleet.call(node, 'POST', call);
    if (status !== 200) return;
    this.accepted.push(id);
    this.jobs.set(id, simpleJob(id, {steps: [simpleStep(definition)]}));
  }

  private async sample(): Promise<string[]> {
    const {fleet} = this.options;
    const violations: string[] = [];
    const startMs = performance.now();
    while (performance.now() - startMs < DURATION_MS) {
      const progress = {
        wallMs: Date.now(),
        isDone: (task: string) => fleet.hasSucceeded(task),
      };
      const sample = {
        nowMs: Math.round(performance.now()),
        isCalm: fleet.workers.every(({isDown}) => !isDown),
        workers: fleet.workers.map((worker) => this.sampleWorker(worker)),
        dueTasks: [...this.jobs.values()].flatMap((job) =>
          dueTasks(job, progress),
        ),
      };
      for (const violation of this.check.observe(sample)) {
        if (await this.isStillOpen(violation)) violations.push(violation);
      }
      await sleep(SAMPLE_INTERVAL_MS);
    }
    return violations;
  }

  /**
   * Whether the job of a violation has not succeeded. An acknowledgement after
   * the end of a lease is void, so that a stored success may not be seen.
   */
  private async isStillOpen(violation: string): Promise<boolean> {
    const id = violation.split('.')[0]!;
    const [node] = this.options.fleet.nodes;
    const {state} = await this.options.fleet.call(node!, 'GET', {id});
    if (state === 'succeeded') this.jobs.delete(id);
    return state !== 'succeeded';
  }

  private sampleWorker({
    id,
    cpuMillicores,
    standIn,
  }: FleetWorker): SampledWorker {
    const capacity = {cpuMillicores, memoryMb: 16_000, acceleratorCount: 0};
    const running = standIn.running.flatMap((name) => this.taskOf(name));
    return {id, capacity, labels: [], running};
  }

  /** Returns a task with its step; none if its job is not known. */
  private taskOf(name: string): SampledTask[] {
    const {jobId, step} = parseTaskName(name)!;
    const definition = this.jobs.get(jobId)?.steps[step];
    return definition ? [{name, step: definition}] : [];
  }

  private async cancelJobs(): Promise<void> {
    const [node] = this.options.fleet.nodes;
    for (const id of this.accepted) {
      await this.options.fleet.call(node!, 'DELETE', {id});
    }
  }
}
