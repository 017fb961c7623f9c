import {QueueTerms} from './configuration.js';

/** Resources that a task requests or a worker offers. */
export interface TaskResources {
  /** Thousandths of a core. */
  cpuMillicores: number;
  memoryMb: number;
  acceleratorCount: number;
}

/** One step of a job, which consists of `taskCount` identical tasks. */
export interface StepDefinition extends TaskResources {
  taskCount: number;
  /** Rough estimate of the duration of a task in ms. */
  estimatedMs: number;
  /** Indexes of the steps that must be done before this one starts. */
  after: readonly number[];
  /** Whether tasks checkpoint their progress. */
  isCheckpointed: boolean;
  /** Whether the tasks form a gang: they start, work and end only together. */
  isGang: boolean;
  /** Whether tasks run more slowly when they are spread over racks. */
  isRackSensitive: boolean;
  /** Label that a worker must have to run the tasks. */
  requiredLabel: string | undefined;
  /** Rack that holds the data of the tasks. */
  affinityRack: string | undefined;
  /** Maximum number of tasks of the step on one worker; 0 means no limit. */
  mostPerWorker: number;
  /** Whether copies of a task may run in parallel. */
  isSpeculative: boolean;
  /** Whether tasks run until the job is cancelled and always restart. */
  isLongRunning: boolean;
  /** Image that the tasks run; tasks of one image behave alike. */
  image: string | undefined;
  /** Tail latency limit in ms of latency-critical tasks; 0 for others. */
  tailTargetMs: number;
  /** Whether tasks are best-effort: they run on CPU that others leave idle. */
  usesLeftoverCpu: boolean;
  /** Maximum tasks that the system's own actions make unavailable at once. */
  mostUnavailable: number | undefined;
}

/** A job as its caller submitted it. */
export interface JobDefinition {
  id: string;
  /** Name of the queue that accepted it. */
  queue: string;
  /** Service that ran the tasks of the queue when the job was accepted. */
  service: string;
  /**
   * Terms of the queue when the job was accepted. They hold once the queue is
   * removed. @default not known, as for a job that an earlier build accepted
   */
  terms?: QueueTerms;
  specification: string;
  steps: readonly StepDefinition[];
  /** Number of occurrences; 0 for a job that runs once, immediately. */
  repetitions: number;
  /** Unix time in ms of the first occurrence. */
  firstRunMs: number;
  /** Time in ms between occurrences. */
  intervalMs: number;
}

/** Phase of a job as reported to callers. */
export const JobPhase = {
  QUEUED: 'queued',
  RUNNING: 'running',
  SUCCEEDED: 'succeeded',
  FAILED: 'failed',
  CANCELLED: 'cancelled',
} as const;

/** One of the values of {@link JobPhase}. */
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

/** Returns whether a job in this phase can no longer change phase. */
export function isFinalPhase(phase: JobPhase): boolean {
  return phase !== JobPhase.QUEUED && phase !== JobPhase.RUNNING;
}
