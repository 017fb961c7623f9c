import {sleep} from '../src/clock/sleep.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {FleetNode, NodeFleet, versionRoutePrefix} from './node_fleet.js';
import {
  generateSchedule,
  FaultInjector,
  ScheduledFault,
  SoakFault,
} from './soak_faults.js';

/** Options of {@link runSoak}. */
export interface SoakOptions {
  seed: number;
  /** Time in seconds in which faults begin. @default 20 */
  seconds?: number;
  /** @default all */
  kinds?: readonly SoakFault[];
  /** @default 4 */
  nodes?: number;
  /** @default 5 */
  workers?: number;
  /** Folder for the logs of the programs. @default not kept */
  folder?: string;
}

/** What a run has found. */
export interface SoakResult {
  seed: number;
  schedule: readonly ScheduledFault[];
  accepted: number;
  refused: number;
  cancelled: number;
  /** Promises that were not kept. */
  breaches: string[];
}

/** What callers know of a job. */
interface SoakJob {
  id: string;
  /** Steps times tasks of the job. */
  tasks: number;
  isAccepted: boolean;
  /** Some attempt had no answer or one that leaves it open. */
  hasUnknownOutcome: boolean;
  cancelledMs: number;
}

/** Time in ms between two submissions of one caller. */
const CALL_INTERVAL_MS = 60;

/** Callers that submit, ask and cancel at the same time. */
const CALLER_COUNT = 4;

const MAX_ATTEMPTS = 5;
const CANCEL_PROBABILITY = 0.1;

/** Time in ms after the last fault in which everything has to come right. */
const RECOVERY_TIMEOUT_MS = 20_000;

/** Time in ms in which a cancelled job's tasks have to be gone when calm. */
const CANCEL_GRACE_MS = 3200;

const REFUSAL_STATUSES = new Set([429, 503]);

const JOB_STEPS = [
  {count: 3, cpu: 1000, memoryRequestMb: 500, estimatedMs: 300},
  {count: 2, cpu: 500, memoryRequestMb: 500, estimatedMs: 300, after: [0]},
];

/** Runs the real programs under random faults and checks what callers see. */
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
  private readonly jobs: SoakJob[] = [];
  private readonly violations: string[] = [];
  private isStopping = false;
  private refused = 0;

  constructor(private readonly options: SoakOptions) {
    const {seed, nodes = 4, workers = 5, folder} = options;
    this.random = new SeededRandom(seed);
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
    const {seed, seconds = 20, kinds = Object.values(SoakFault)} = this.options;
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
    this.fleet.store.store.applyDelayedTransactions();
    this.isStopping = true;
    await Promise.all(callers);
    await this.checkRecovery();
    const accepted = this.jobs.filter(({isAccepted}) => isAccepted);
    return {
      seed,
      schedule,
      accepted: accepted.length,
      refused: this.refused,
      cancelled: accepted.filter(({cancelledMs}) => cancelledMs < Infinity)
        .length,
      breaches: [...this.fleet.violations, ...this.violations],
    };
  }

  async stop(): Promise<void> {
    await this.fleet.stop();
  }

  /** One caller: submits, asks for an earlier job, sometimes cancels. */
  private async runCaller(): Promise<void> {
    while (!this.isStopping) {
      const job: SoakJob = {
        id: (this.jobs.length + 1).toString(16).padStart(16, '0'),
        tasks: JOB_STEPS.reduce((sum, {count}) => sum + count, 0),
        isAccepted: false,
        hasUnknownOutcome: false,
        cancelledMs: Infinity,
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
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const node = this.pickNode();
      const {status} = await this.fleet.call(node, 'POST', {id: job.id, body});
      if (status === 200) job.isAccepted = true;
      else if (REFUSAL_STATUSES.has(status)) this.refused += 1;
      else job.hasUnknownOutcome = true;
      if (job.isAccepted) return;
      if (status === 404) this.violations.push(`${job.id}: 404 for its queue`);
      await sleep(CALL_INTERVAL_MS);
    }
  }

  private async cancel(job: SoakJob): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const {status} = await this.fleet.call(this.pickNode(), 'DELETE', job);
      if (status !== 200) continue;
      job.cancelledMs = performance.now();
      return;
    }
  }

  private async queryJob(job: SoakJob): Promise<void> {
    const {isAccepted} = job;
    const answer = await this.fleet.call(this.pickNode(), 'GET', job);
    if (!isAccepted) return;
    if (answer.status === 410) this.violations.push(`${job.id} is not known`);
    if (answer.state === 'failed') this.violations.push(`${job.id} has failed`);
  }

  /** Everything comes right once the faults are over. */
  private async checkRecovery(): Promise<void> {
    for (const node of this.fleet.nodes) await this.fleet.waitUntilReady(node);
    const untilMs = performance.now() + RECOVERY_TIMEOUT_MS;
    for (const job of this.jobs) await this.checkOutcome(job, untilMs);
    await this.checkCancelled();
    await this.checkConfiguration();
  }

  private async checkOutcome(job: SoakJob, untilMs: number): Promise<void> {
    if (!job.isAccepted) {
      if (!job.hasUnknownOutcome) this.checkNeverRan(job);
      return;
    }
    const isCancelled = job.cancelledMs < Infinity;
    let state: string | undefined;
    do {
      ({state} = await this.fleet.call(this.pickNode(), 'GET', job));
      if (state === 'succeeded' || state === 'cancelled') break;
      await sleep(CALL_INTERVAL_MS);
    } while (performance.now() < untilMs);
    if (state !== 'succeeded' && !(isCancelled && state === 'cancelled')) {
      this.violations.push(`${job.id} is ${state ?? 'not shown'} at the end`);
    }
    if (state === 'succeeded') this.checkAllRan(job);
  }

  private checkNeverRan({id}: SoakJob): void {
    const hasRun = [...this.fleet.startedMs.keys()].some((task) =>
      task.startsWith(id),
    );
    if (hasRun) this.violations.push(`${id} was refused and has run`);
  }

  private checkAllRan({id, tasks}: SoakJob): void {
    const startedTasks = [...this.fleet.startedMs.keys()].filter((task) =>
      task.startsWith(id),
    );
    if (startedTasks.length === tasks) return;
    this.violations.push(
      `${id} is shown as succeeded after ${startedTasks.length} tasks`,
    );
  }

  /** Nothing of a cancelled job runs or starts once all is calm. */
  private async checkCancelled(): Promise<void> {
    await sleep(CANCEL_GRACE_MS);
    const running = this.fleet.workers.flatMap(({standIn}) => standIn.running);
    for (const {id, cancelledMs} of this.jobs) {
      if (cancelledMs === Infinity) continue;
      const active = running.filter((task) => task.startsWith(id));
      if (active.length > 0) this.violations.push(`${active[0]} runs on`);
    }
  }

  /** Each node serves the newest configuration and no other. */
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
        `${node.process.name} answers ${status} for a new route and ${removedRoute.status} for a dropped one`,
      );
    }
  }
}
