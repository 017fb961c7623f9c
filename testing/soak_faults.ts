import {sleep} from '../src/clock/sleep.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {RandomSource} from '../src/random/random_source.js';
import {LinkFaults} from './faulty_link.js';
import {
  CRASHING_JOB_PREFIX,
  FleetNode,
  FleetWorker,
  NodeFleet,
} from './node_fleet.js';
import {simpleWorker} from './simple_definitions.js';

/** Kinds of faults that a soak test injects from outside the programs. */
export const SoakFault = {
  /** Kills a node program and starts it again. */
  KILL_NODE: 'kill-node',
  /** Suspends a node program for a time. */
  PAUSE_NODE: 'pause-node',
  /** Terminates a node program gracefully and starts it again. */
  STOP_NODE: 'stop-node',
  /** Applies link faults between a node and the store. */
  CUT_STORE: 'cut-store',
  /** Makes all calls to the store fail. */
  STORE_DOWN: 'store-down',
  /** Loses responses to transactions, one of which is executed late. */
  STORE_ANSWERS: 'store-answers',
  /** Compacts the history of the store, so that watches have to list again. */
  STORE_HISTORY: 'store-history',
  /** Deletes the key of the partition's owner. */
  OWNER_KEY: 'owner-key',
  /** Applies link faults between the nodes and a worker. */
  CUT_WORKER: 'cut-worker',
  /** Restarts a worker; its tasks are lost. */
  RESTART_WORKER: 'restart-worker',
  /** Reduces the capacity of a worker for a time. */
  RESIZE_WORKER: 'resize-worker',
  /** Submits a job with a task that crashes each worker that starts it. */
  CRASHING_JOB: 'crashing-job',
  /** Publishes a new version of the configuration. */
  CONFIGURE: 'configure',
  /** Leaves submissions without an answer and carries them out late. */
  LATE_SUBMISSIONS: 'late-submissions',
} as const;

/** One of the values of {@link SoakFault}. */
export type SoakFault = (typeof SoakFault)[keyof typeof SoakFault];

/**
 * Kinds of a run that names none. Late submissions are left out, since the
 * schedules of seeds that once failed would change with the number of kinds.
 */
export const DEFAULT_SOAK_FAULTS: readonly SoakFault[] = Object.values(
  SoakFault,
).filter((kind) => kind !== SoakFault.LATE_SUBMISSIONS);

/** One fault of a schedule. */
export interface ScheduledFault {
  /** Time in ms after the start of the schedule. */
  atMs: number;
  kind: SoakFault;
  /** Random number from 0 to 999 that selects the node or worker. */
  target: number;
  /** Duration of the fault in ms. */
  durationMs: number;
  /** Faults of the link, for the kinds that affect a link. */
  link: LinkFaults;
}

const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 5000;

/**
 * Maximum time in ms between the starts of two faults; shorter than most faults
 * last, so that faults usually overlap.
 */
const MAX_FAULT_INTERVAL_MS = 1200;

/** Maximum time in ms by which the execution of a transaction is delayed. */
const MAX_COMMIT_DELAY_MS = 3000;

/** Maximum time in ms by which a submission is carried out late. */
const MAX_SUBMISSION_DELAY_MS = 6000;

/** Hexadecimal digits of a job id after the prefix of crashing jobs. */
const JOB_ID_DIGITS = 16 - CRASHING_JOB_PREFIX.length;

const CRASHING_JOB_STEPS = [
  {count: 2, cpu: 500, memoryRequestMb: 500, estimatedMs: 300},
];

const LINK_FAULTS: readonly LinkFaults[] = [
  {cut: true},
  {forward: {silent: true}, backward: {silent: true}},
  {forward: {silent: true}},
  {backward: {silent: true}},
  {forward: {delayMs: 80, jitterMs: 200, loss: 0.1}},
  {forgetOpen: true},
];

/** Generates the random faults of a run; equal seeds give equal schedules. */
export function generateSchedule(
  random: RandomSource,
  options: {untilMs: number; kinds: readonly SoakFault[]},
): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  const {untilMs, kinds} = options;
  let atMs = 0;
  for (;;) {
    atMs += random.next() * MAX_FAULT_INTERVAL_MS;
    if (atMs >= untilMs) return faults;
    const range = MAX_FAULT_MS - MIN_FAULT_MS;
    faults.push({
      atMs: Math.round(atMs),
      kind: kinds[random.nextInteger(kinds.length)]!,
      target: random.nextInteger(1000),
      durationMs: Math.round(MIN_FAULT_MS + random.next() * range),
      link: LINK_FAULTS[random.nextInteger(LINK_FAULTS.length)]!,
    });
  }
}

/** Injects faults into a fleet and ends each after its duration. */
export class FaultInjector {
  /** Nodes with a process fault in progress; they get no second one. */
  readonly nodesWithProcessFault = new Set<FleetNode>();
  /** Ids of the accepted jobs that crash workers; empty if refused. */
  readonly crashingJobs: string[] = [];
  private activeStoreFaults = 0;

  constructor(private readonly fleet: NodeFleet) {}

  /** True if no store outage is in progress. */
  get isStoreAvailable(): boolean {
    return this.activeStoreFaults === 0;
  }

  /** Injects a fault and resolves once it has ended. */
  async inject(fault: ScheduledFault): Promise<void> {
    const {nodes, workers, store} = this.fleet;
    const node = nodes[fault.target % nodes.length]!;
    const worker = workers[fault.target % workers.length]!;
    const {kind} = fault;
    if (kind === SoakFault.CUT_STORE) {
      await this.injectLinkFault(node.storeLink!, fault);
    } else if (kind === SoakFault.CUT_WORKER) {
      await this.injectLinkFault(worker.link!, fault);
    } else if (kind === SoakFault.RESTART_WORKER) {
      if (!worker.isDown) worker.standIn.restart();
    } else if (kind === SoakFault.RESIZE_WORKER) {
      await this.injectResize(worker, fault);
    } else if (kind === SoakFault.CRASHING_JOB) {
      await this.submitCrashingJob();
    } else if (kind === SoakFault.CONFIGURE) {
      this.fleet.publishConfiguration();
    } else if (kind === SoakFault.STORE_HISTORY) {
      store.store.compact();
    } else if (kind === SoakFault.OWNER_KEY) {
      store.store.remove(new PartitionKeys('main').owner);
    } else if (kind === SoakFault.STORE_DOWN) {
      await this.injectStoreOutage(fault);
    } else if (kind === SoakFault.STORE_ANSWERS) {
      await this.injectLostAnswers(fault);
    } else if (kind === SoakFault.LATE_SUBMISSIONS) {
      await this.injectLateSubmissions(fault);
    } else {
      await this.injectProcessFault(node, fault);
    }
  }

  private async injectLinkFault(
    link: {setFaults: (faults: LinkFaults) => void},
    {link: faults, durationMs}: ScheduledFault,
  ): Promise<void> {
    link.setFaults(faults);
    await sleep(durationMs);
    link.setFaults({});
  }

  private async injectResize(
    worker: FleetWorker,
    {target, durationMs}: ScheduledFault,
  ): Promise<void> {
    const {cpuMillicores} = simpleWorker(worker.id).capacity;
    this.fleet.resizeWorker(worker, (target % 3) * 1000);
    await sleep(durationMs);
    this.fleet.resizeWorker(worker, cpuMillicores);
  }

  private async submitCrashingJob(): Promise<void> {
    this.crashingJobs.push('');
    const number = String(this.crashingJobs.length);
    const id = CRASHING_JOB_PREFIX + number.padStart(JOB_ID_DIGITS, '0');
    const body = {specification: id, steps: CRASHING_JOB_STEPS};
    for (const node of this.fleet.nodes) {
      const {status} = await this.fleet.call(node, 'POST', {id, body});
      if (status !== 200) continue;
      this.crashingJobs[Number(number) - 1] = id;
      return;
    }
  }

  private async injectStoreOutage({durationMs}: ScheduledFault): Promise<void> {
    const {store} = this.fleet.store;
    this.activeStoreFaults += 1;
    store.isDown = true;
    await sleep(durationMs);
    this.activeStoreFaults -= 1;
    if (this.activeStoreFaults === 0) store.isDown = false;
  }

  private async injectLostAnswers({target}: ScheduledFault): Promise<void> {
    const {store} = this.fleet.store;
    store.commitFaults.push('answer-lost', 'late', 'answer-lost');
    await sleep((target / 1000) * MAX_COMMIT_DELAY_MS);
    store.applyDelayedTransactions();
  }

  private async injectLateSubmissions(fault: ScheduledFault): Promise<void> {
    const {store} = this.fleet.store;
    store.lateKey = '/submission';
    await sleep(fault.durationMs);
    store.lateKey = undefined;
    await sleep((fault.target / 1000) * MAX_SUBMISSION_DELAY_MS);
    store.applyDelayedTransactions();
  }

  private async injectProcessFault(
    node: FleetNode,
    {kind, durationMs}: ScheduledFault,
  ): Promise<void> {
    if (this.nodesWithProcessFault.has(node)) return;
    this.nodesWithProcessFault.add(node);
    if (kind === SoakFault.PAUSE_NODE) {
      node.process.signal('SIGSTOP');
      await sleep(durationMs);
      node.process.signal('SIGCONT');
    } else {
      if (kind === SoakFault.STOP_NODE) await node.process.terminate();
      else await node.process.kill();
      await sleep(durationMs / 4);
      node.process.start();
    }
    this.nodesWithProcessFault.delete(node);
  }
}
