import {sleep} from '../src/clock/sleep.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {JobDefinition} from '../src/work/job_definition.js';
import {FleetNode, NodeFleet, versionRoutePrefix} from './node_fleet.js';
import {simpleJob, simpleStep} from './simple_definitions.js';
import {SoakCalmPhase} from './soak_calm_phase.js';
import {
  DEFAULT_SOAK_FAULTS,
  FaultInjector,
  generateSchedule,
  ScheduledFault,
  SoakFault,
} from './soak_faults.js';

/** Options of {@link runSoak}. */
export interface SoakOptions {
  /** Seed of the fault schedule and of the calls. */
  seed: number;
  /** Time in seconds during which faults are injected. @default 20 */
  seconds?: number;
  /** Kinds of faults to inject. @default all */
  kinds?: readonly SoakFault[];
  /** Number of node programs. @default 4 */
  nodes?: number;
  /** Number of workers. @default 5 */
  workers?: number;
  /** Folder for the logs of the programs. @default logs are not kept */
  folder?: string;
}

/** Result of a soak run. */
export interface SoakResult {
  /** Seed of the run. */
  seed: number;
  /** Faults that were injected. */
  schedule: readonly ScheduledFault[];
  /** Number of jobs that were accepted. */
  accepted: number;
  /** Number of submissions that were rejected with 429 or 503. */
  refused: number;
  /** Number of accepted jobs that were cancelled. */
  cancelled: number;
  /** Number of jobs that were cancelled although no answer had accepted them. */
  givenUp: number;
  /** Descriptions of violated guarantees; empty if the run passed. */
  breaches: string[];
}

/** State of a job as its caller knows it. */
interface SoakJob {
  id: string;
  /** Number of tasks in all steps. */
  tasks: number;
  isAccepted: boolean;
  /** True if a submission may have been accepted without the caller knowing. */
  hasUnknownOutcome: boolean;
  /** Time in ms at which the job was cancelled; Infinity if it was not. */
  cancelledMs: number;
  /** Whether a cancellation may have taken effect without a 2xx answer. */
  isCancellationInDoubt: boolean;
  /**
   * Time in ms at which the cancelling of a job that nobody had accepted was
   * answered with "no such job"; Infinity if it was not.
   */
  givenUpMs: number;
}

/** Pause in ms between two calls of one caller, and between retries. */
const CALL_INTERVAL_MS = 60;

/** Number of concurrent callers. */
const CALLER_COUNT = 4;

const MAX_ATTEMPTS = 5;
const CANCEL_PROBABILITY = 0.1;

/** Probability that a caller leaves early and then cancels its job. */
const IMPATIENT_PROBABILITY = 0.2;

/** Time in ms after which such a caller leaves. */
const IMPATIENT_MS = 500;

/** Time in ms after the last fault within which all jobs must end. */
const RECOVERY_TIMEOUT_MS = 20_000;

/** Status of an answer that says that a change may be in force. */
const MAY_HAVE_RUN_STATUS = 504;

/** Time in ms within which tasks of cancelled jobs must stop without faults. */
const CANCEL_GRACE_MS = 3200;

/** Status codes that guarantee that the job was not accepted. */
const REFUSAL_STATUSES = new Set([429, 503]);

const JOB_STEPS = [
  {count: 3, cpu: 1000, memoryRequestMb: 500, estimatedMs: 300},
  {count: 2, cpu: 500, memoryRequestMb: 500, estimatedMs: 300, after: [0]},
];

/**
 * Runs the node programs as processes under random faults and checks the
 * guarantees to callers: accepted jobs end, rejected jobs never run, cancelled
 * jobs stop or never start, and all nodes recover.
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const soak = new SoakRun(options);
  try {
    return await soak.run();
  } finally {
    await soak.stop();
  }
}

class SoakRun {
  private readonly fleet: NodeFleet;
  private readonly injector: FaultInjector;
  private readonly random: SeededRandom;
  /** Apart from {@link random}, so that other choices do not depend on it. */
  private readonly giveUpRandom: SeededRandom;
  private readonly jobs: SoakJob[] = [];
  private readonly violations: string[] = [];
  private isStopping = false;
  private refused = 0;

  constructor(private readonly options: SoakOptions) {
    const {seed, nodes = 4, workers = 5, folder} = options;
    this.random = new SeededRandom(seed);
    this.giveUpRandom = new SeededRandom(seed + 1);
    this.fleet = new NodeFleet({
      nodes,
      workers,
      seed,
      folder,
      withFaultyLinks: true,
    });
    this.injector = new FaultInjector(this.fleet);
  }

  async run(): Promise<SoakResult> {
    const {seed, seconds = 20, kinds = DEFAULT_SOAK_FAULTS} = this.options;
    const schedule = generateSchedule(this.random, {
      untilMs: seconds * 1000,
      kinds,
    });
    await this.fleet.start();
    const callers = Array.from({length: CALLER_COUNT}, () => this.runCaller());
    const startedMs = performance.now();
    await Promise.all(
      schedule.map(async (fault) => {
        await sleep(startedMs + fault.atMs - performance.now());
        await this.injector.inject(fault);
      }),
    );
    this.fleet.store.store.commitFaults.length = 0;
    this.fleet.store.store.lateKey = undefined;
    this.fleet.store.store.applyDelayedTransactions();
    this.isStopping = true;
    await Promise.all(callers);
    await this.runCalmPhase();
    await this.checkRecovery();
    const accepted = this.jobs.filter(({isAccepted}) => isAccepted);
    return {
      seed,
      schedule,
      accepted: accepted.length,
      refused: this.refused,
      cancelled: accepted.filter(({cancelledMs}) => cancelledMs < Infinity)
        .length,
      givenUp: this.jobs.filter(({givenUpMs}) => givenUpMs < Infinity).length,
      breaches: [...this.fleet.violations, ...this.violations],
    };
  }

  async stop(): Promise<void> {
    await this.fleet.stop();
  }

  private async runCalmPhase(): Promise<void> {
    const {fleet, random} = this;
    for (const node of fleet.nodes) await fleet.waitUntilReady(node);
    const jobs: JobDefinition[] = [];
    for (const job of this.jobs) {
      if (await this.mustRun(job)) jobs.push(definitionOf(job.id));
    }
    const phase = new SoakCalmPhase({fleet, random, jobs});
    this.violations.push(...(await phase.run()));
  }

  /** Whether an accepted job has to run, since it was not cancelled. */
  private async mustRun(job: SoakJob): Promise<boolean> {
    if (!job.isAccepted || job.cancelledMs < Infinity) return false;
    if (!job.isCancellationInDoubt) return true;
    const {state} = await this.fleet.call(this.pickNode(), 'GET', job);
    return state !== 'cancelled';
  }

  /** Runs one caller, which submits, sometimes cancels, and queries jobs. */
  private async runCaller(): Promise<void> {
    while (!this.isStopping) {
      const job: SoakJob = {
        id: (this.jobs.length + 1).toString(16).padStart(16, '0'),
        tasks: JOB_STEPS.reduce((sum, {count}) => sum + count, 0),
        isAccepted: false,
        hasUnknownOutcome: false,
        cancelledMs: Infinity,
        isCancellationInDoubt: false,
        givenUpMs: Infinity,
      };
      this.jobs.push(job);
      await this.submit(job);
      if (job.isAccepted && this.random.next() < CANCEL_PROBABILITY) {
        await this.cancel(job);
      }
      await this.queryJob(
        this.jobs[this.random.nextInteger(this.jobs.length)]!,
      );
      await sleep(CALL_INTERVAL_MS);
    }
  }

  private pickNode(): FleetNode {
    const {nodes} = this.fleet;
    return nodes[this.random.nextInteger(nodes.length)]!;
  }

  private async submit(job: SoakJob): Promise<void> {
    const body = {specification: job.id, steps: JOB_STEPS};
    const isImpatient = this.giveUpRandom.next() < IMPATIENT_PROBABILITY;
    const leavesAfterMs = isImpatient ? IMPATIENT_MS : undefined;
    const call = {id: job.id, body, leavesAfterMs};
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const node = this.pickNode();
      const {status} = await this.fleet.call(node, 'POST', call);
      if (status === 200) job.isAccepted = true;
      else if (REFUSAL_STATUSES.has(status)) this.refused += 1;
      else job.hasUnknownOutcome = true;
      if (job.isAccepted) return;
      if (job.hasUnknownOutcome && isImpatient) {
        await this.giveUp(job);
        return;
      }
      if (status === 404) this.violations.push(`${job.id}: no queue (404)`);
      await sleep(CALL_INTERVAL_MS);
    }
  }

  private async cancel(job: SoakJob): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const {status} = await this.fleet.call(this.pickNode(), 'DELETE', job);
      if (status === MAY_HAVE_RUN_STATUS) job.isCancellationInDoubt = true;
      if (status !== 200) continue;
      job.cancelledMs = performance.now();
      return;
    }
  }

  /** Cancels a job of which the caller does not know whether it is accepted. */
  private async giveUp(job: SoakJob): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const {status} = await this.fleet.call(this.pickNode(), 'DELETE', job);
      if (status === 410) job.givenUpMs = performance.now();
      if (status === 200) job.cancelledMs = performance.now();
      if (status === 200 || status === 410) return;
      await sleep(CALL_INTERVAL_MS);
    }
  }

  private async queryJob(job: SoakJob): Promise<void> {
    const {isAccepted} = job;
    const answer = await this.fleet.call(this.pickNode(), 'GET', job);
    if (!isAccepted) return;
    if (answer.status === 410) this.violations.push(`${job.id} is gone (410)`);
    if (answer.state === 'failed') this.violations.push(`${job.id} has failed`);
  }

  /** Checks that nodes, jobs and the configuration recover after the faults. */
  private async checkRecovery(): Promise<void> {
    for (const node of this.fleet.nodes) await this.fleet.waitUntilReady(node);
    const untilMs = performance.now() + RECOVERY_TIMEOUT_MS;
    for (const job of this.jobs) await this.checkOutcome(job, untilMs);
    for (const id of this.injector.crashingJobs) {
      if (id !== '') await this.checkGivenUp(id, untilMs);
    }
    await this.checkCancelled();
    for (const job of this.jobs) this.checkGivenUpJob(job);
    await this.checkConfiguration();
  }

  private async checkOutcome(job: SoakJob, untilMs: number): Promise<void> {
    if (!job.isAccepted) {
      if (!job.hasUnknownOutcome) this.checkNeverRan(job);
      return;
    }
    const mayBeCancelled =
      job.cancelledMs < Infinity || job.isCancellationInDoubt;
    let state: string | undefined;
    do {
      ({state} = await this.fleet.call(this.pickNode(), 'GET', job));
      if (state === 'succeeded' || state === 'cancelled') break;
      await sleep(CALL_INTERVAL_MS);
    } while (performance.now() < untilMs);
    if (state !== 'succeeded' && !(mayBeCancelled && state === 'cancelled')) {
      this.violations.push(
        `${job.id} has not ended in time; its state is ${state ?? 'not shown'}`,
      );
    }
    if (state === 'succeeded') this.checkAllRan(job);
  }

  /** Checks that a job with a crashing task is shown as failed in time. */
  private async checkGivenUp(id: string, untilMs: number): Promise<void> {
    let state: string | undefined;
    do {
      ({state} = await this.fleet.call(this.pickNode(), 'GET', {id}));
      if (state === 'failed') return;
      await sleep(CALL_INTERVAL_MS);
    } while (performance.now() < untilMs);
    this.violations.push(`${id} crashes workers and is ${state ?? 'unknown'}`);
  }

  /** Checks that nothing of a job starts after it was said not to exist. */
  private checkGivenUpJob({id, givenUpMs}: SoakJob): void {
    const lateTask = [...this.fleet.startedMs].find(
      ([task, startedMs]) =>
        task.startsWith(id) && startedMs > givenUpMs + CANCEL_GRACE_MS,
    );
    if (lateTask) this.violations.push(`${lateTask[0]} has started unasked`);
  }

  private checkNeverRan({id}: SoakJob): void {
    const hasRun = [...this.fleet.startedMs.keys()].some((task) =>
      task.startsWith(id),
    );
    if (hasRun) this.violations.push(`${id} was rejected but has run`);
  }

  private checkAllRan({id, tasks}: SoakJob): void {
    const startedTasks = [...this.fleet.startedMs.keys()].filter((task) =>
      task.startsWith(id),
    );
    if (startedTasks.length === tasks) return;
    this.violations.push(
      `${id} is shown as succeeded, but ${startedTasks.length} tasks have started`,
    );
  }

  /** Checks that no task of a cancelled job runs once the faults have ended. */
  private async checkCancelled(): Promise<void> {
    await sleep(CANCEL_GRACE_MS);
    const running = this.fleet.workers.flatMap(({standIn}) => standIn.running);
    for (const {id, cancelledMs} of this.jobs) {
      if (cancelledMs === Infinity) continue;
      const active = running.filter((task) => task.startsWith(id));
      if (active.length > 0) this.violations.push(`${active[0]} still runs`);
    }
  }

  /** Checks that each node applies a new configuration in place of the old. */
  private async checkConfiguration(): Promise<void> {
    const version = this.fleet.publishConfiguration();
    await sleep(2000);
    for (const node of this.fleet.nodes) {
      const newPrefix = versionRoutePrefix(version);
      const {status} = await this.fleet.call(node, 'GET', {
        id: '',
        prefix: newPrefix,
      });
      const removedRoute = await this.fleet.call(node, 'GET', {
        id: '',
        prefix: versionRoutePrefix(version - 1),
      });
      if (status === 200 && removedRoute.status === 404) continue;
      this.violations.push(
        `${node.process.name} responds with ${status} for a new route and ${removedRoute.status} for a removed route`,
      );
    }
  }
}

/** Returns what the programs understand of a submitted job. */
function definitionOf(id: string): JobDefinition {
  const steps = JOB_STEPS.map(({count, cpu, memoryRequestMb, after}) =>
    simpleStep({
      taskCount: count,
      cpuMillicores: cpu,
      memoryMb: memoryRequestMb,
      after: after ?? [],
    }),
  );
  return simpleJob(id, {steps});
}
