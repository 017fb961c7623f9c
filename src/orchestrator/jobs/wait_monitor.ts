import {NodeLog} from '../../logging/node_log.js';
import {StepDefinition, TaskResources} from '../../work/job_definition.js';
import {countWithRoom, JobExplainer, StepPosition} from './job_explainer.js';
import {JobState} from './job_state.js';
import {SchedulingTime} from '../placement/scheduling_time.js';
import {StepContexts} from '../placement/step_contexts.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link WaitMonitor}. */
export interface WaitMonitorOptions {
  log: NodeLog;
  workers: ReadonlyMap<string, WorkerState>;
  contexts: StepContexts;
  explainer: JobExplainer;
}

/** Jobs of which a step could run and does not, for logs and metrics. */
export interface WaitSummary {
  /** Jobs with a ready step that has been idle for 2 s. */
  idleJobs: number;
  /** Idle jobs for which at least one worker has room. */
  idleJobsWithRoom: number;
  /** Longest time in ms for which a ready step has been idle. */
  longestIdleMs: number;
}

/** A job with the ready step that has been idle for the longest time. */
interface IdleJob {
  job: JobState;
  position: StepPosition;
  idleMs: number;
  /** Whether a worker has room for a waiting task of the step. */
  hasRoom: boolean;
}

/** Time in ms after which the job of an idle step counts as idle. */
const IDLE_AFTER_MS = 2000;

/** Minimum time in ms between two log lines about one job. */
const REPEAT_MS = 5000;

/** Maximum number of log lines of one check. */
const LINES_PER_CHECK = 8;

/** Logs why steps that are ready do not run. */
export class WaitMonitor {
  private readonly loggedMs = new WeakMap<JobState, number>();
  private latest: WaitSummary = {
    idleJobs: 0,
    idleJobsWithRoom: 0,
    longestIdleMs: 0,
  };

  constructor(private readonly options: WaitMonitorOptions) {}

  /** Result of the latest check. */
  get summary(): WaitSummary {
    return this.latest;
  }

  /** Looks for idle jobs and logs those that were not logged lately. */
  check(jobs: Iterable<JobState>, time: SchedulingTime): WaitSummary {
    const {nowMs} = time;
    const room = new RoomSearch(this.options);
    const idle: IdleJob[] = [];
    let longestIdleMs = 0;
    for (const job of jobs) {
      const found = job.isFinal ? undefined : findIdleStep(job, nowMs);
      if (!found) continue;
      longestIdleMs = Math.max(longestIdleMs, found.idleMs);
      if (found.idleMs < IDLE_AFTER_MS) continue;
      const {position, idleMs} = found;
      const hasRoom = room.hasRoom(job, position);
      idle.push({job, position, idleMs, hasRoom});
    }
    for (const found of this.chooseToLog(idle, nowMs)) {
      this.loggedMs.set(found.job, nowMs);
      this.log(found, time);
    }
    this.latest = {
      idleJobs: idle.length,
      idleJobsWithRoom: idle.filter(({hasRoom}) => hasRoom).length,
      longestIdleMs: Math.round(longestIdleMs),
    };
    return this.latest;
  }

  /** Chooses jobs that could run first, then new ones, then the longest idle. */
  private chooseToLog(idle: readonly IdleJob[], nowMs: number): IdleJob[] {
    const due: Array<{found: IdleJob; rank: number}> = [];
    for (const found of idle) {
      const loggedMs = this.loggedMs.get(found.job);
      if (loggedMs !== undefined && nowMs - loggedMs < REPEAT_MS) continue;
      const isNew = loggedMs === undefined;
      due.push({found, rank: (found.hasRoom ? 2 : 0) + (isNew ? 1 : 0)});
    }
    due.sort(
      (left, right) =>
        right.rank - left.rank || right.found.idleMs - left.found.idleMs,
    );
    return due.slice(0, LINES_PER_CHECK).map(({found}) => found);
  }

  private log({job, position}: IdleJob, {nowMs, wallMs}: SchedulingTime): void {
    const {log, explainer} = this.options;
    const {id, queue} = job.definition;
    try {
      const explained = explainer.explainStep(job, position, nowMs);
      const {search, runs, ...step} = explained;
      const workers = runs.map(({worker}) => worker);
      log.logDecision('job-waiting', {
        job: id,
        queue,
        ageMs: Math.round(wallMs - job.acceptedWallMs),
        ...step,
        ...search,
        workers: workers.length > 0 ? workers : undefined,
      });
    } catch (error) {
      // One job must not keep others from being checked.
      log.logError('wait-not-explained', error as Error, {job: id});
    }
  }
}

/** Requests of which it is known whether a worker has room for them. */
interface KnownRequests {
  fitting: StepDefinition[];
  unplaceable: StepDefinition[];
}

/**
 * Whether workers have room for waiting tasks. All workers are evaluated only for
 * a request that is neither at least as large as one for which there is no room,
 * nor at most as large as one for which there is.
 */
class RoomSearch {
  private readonly known = new Map<string, KnownRequests>();

  constructor(private readonly options: WaitMonitorOptions) {}

  hasRoom(job: JobState, {occurrence, step}: StepPosition): boolean {
    const {tasks} = occurrence.steps[step]!;
    const task = tasks.find(({state}) => state === 'waiting');
    if (!task) return false;
    const {workers, contexts} = this.options;
    const service = contexts.serviceOf(job);
    const request = task.step;
    const {fitting, unplaceable} = this.knownLike(request, service);
    if (unplaceable.some((known) => isCoveredBy(known, request))) return false;
    if (fitting.some((known) => isCoveredBy(request, known))) return true;
    const hasRoom = countWithRoom(task, service, workers.values()) > 0;
    (hasRoom ? fitting : unplaceable).push(request);
    return hasRoom;
  }

  private knownLike(request: StepDefinition, service: string): KnownRequests {
    const {requiredLabel, usesLeftoverCpu} = request;
    const kind = `${service},${requiredLabel},${usesLeftoverCpu}`;
    const known = this.known.get(kind) ?? {fitting: [], unplaceable: []};
    this.known.set(kind, known);
    return known;
  }
}

/** Returns whether a request is at most as large as another one. */
function isCoveredBy(request: TaskResources, other: TaskResources): boolean {
  return (
    request.cpuMillicores <= other.cpuMillicores &&
    request.memoryMb <= other.memoryMb &&
    request.acceleratorCount <= other.acceleratorCount
  );
}

/** Returns the ready step that has been idle for the longest time. */
function findIdleStep(
  job: JobState,
  nowMs: number,
): {position: StepPosition; idleMs: number} | undefined {
  let earliestMs = Infinity;
  let position: StepPosition | undefined;
  for (const occurrence of job.occurrences.values()) {
    if (occurrence.isDone) continue;
    for (let step = 0; step < occurrence.steps.length; step++) {
      const sinceMs = job.idleSinceMs(occurrence, step) ?? Infinity;
      if (sinceMs >= earliestMs) continue;
      earliestMs = sinceMs;
      position = {occurrence, step};
    }
  }
  return position && {position, idleMs: nowMs - earliestMs};
}
