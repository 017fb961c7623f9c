import {JobPhase} from '../../work/job_definition.js';
import {JobHistorySummary} from './job_history.js';
import {RunState} from '../runs/run_life_cycle.js';
import {StepHold} from '../placement/step_hold.js';
import {WorkerExclusion} from '../placement/worker_exclusion.js';

/** Why a job is where it is, as the owner of its partition knows it. */
export interface JobExplanation {
  job: string;
  phase: JobPhase;
  queue: string;
  service: string;
  /** Time in ms since the job was accepted. */
  ageMs: number;
  /** Time in ms since this owner knows the job. */
  knownMs: number;
  /** What happened to its runs in the term of this owner. */
  history: JobHistorySummary;
  /** Steps of the occurrences that are not done. */
  steps: StepExplanation[];
}

/** Why a step of a job is where it is. */
export interface StepExplanation {
  /** Number of the occurrence and of the step: "0.1". */
  step: string;
  /** Number of tasks by the state of their run. */
  tasks: Partial<Record<RunState, number>>;
  /** Why no worker is searched for it. @default one is searched */
  hold?: StepHold;
  /**
   * Time in ms for which no task of the step is known to run, or not all of them
   * if they are long-running. @default the step is not idle, done or not ready
   */
  idleMs?: number;
  /** Runs that are or may be active; at most the first 32. */
  runs: RunExplanation[];
  /** Result of a search for a worker. @default no task waits, or not ready */
  search?: SearchExplanation;
}

/** A run that is or may be active on a worker. */
export interface RunExplanation {
  task: string;
  run: number;
  state: RunState;
  worker: string;
  /** Time in ms since the run was assigned; absent if another owner did. */
  assignedMs?: number;
}

/** Which workers could accept a waiting task now. */
export interface SearchExplanation {
  /** Waiting task for which all workers were evaluated. */
  task: string;
  /** CPU request in millicores. */
  cpuMillicores: number;
  memoryMb: number;
  acceleratorCount: number;
  /** Whether the task may have crashed a worker. */
  isSuspect: boolean;
  /** Number of its starts in a row that workers have refused. */
  refusals: number;
  /** Number of its runs that failed. */
  failures: number;
  /** Number of workers that could accept the task. */
  suitable: number;
  /**
   * Number of workers of the service that have room for the task, whether or
   * not something else excludes them; those that drain are left out.
   */
  withRoom: number;
  /** Number of workers that each reason excludes. */
  excluded: Partial<Record<WorkerExclusion, number>>;
  /** Whether the scheduler evaluates changed workers only, for a short time. */
  isRemembered: boolean;
}
