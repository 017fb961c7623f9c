import {NodeLog} from '../logging/node_log.js';
import {countWithRoom, JobExplainer, StepPosition} from './job_explainer.js';
import {JobState} from './job_state.js';
import {SchedulingTime} from './scheduling_time.js';
import {StepContexts} from './step_contexts.js';
import {TaskState} from './task_state.js';
import {WorkerState} from './worker_state.js';

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
    const room = new RoomCounts(this.options);
    const idle: IdleJob[] = [];
    let longestIdleMs = 0;
    for (const job of jobs) {
      const found = job.isFinal ? undefined : findIdleStep(job, nowMs);
      if (!found) continue;
      longestIdleMs = Math.max(longestIdleMs, found.idleMs);
      if (found.idleMs < IDLE_AFTER_MS) continue;
      idle.push({job, ...found, hasRoom: room.hasRoom(job, found.position)});
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
    const due = idle.filter(
      ({job}) => nowMs - (this.loggedMs.get(job) ?? -Infinity) >= REPEAT_MS,
    );
    due.sort(
      (left, right) =>
        Number(right.hasRoom) - Number(left.hasRoom) ||
        Number(this.loggedMs.has(left.job)) -
          Number(this.loggedMs.has(right.job)) ||
        right.idleMs - left.idleMs,
    );
    return due.slice(0, LINES_PER_CHECK);
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

/** Whether workers have room, evaluated once for each kind of request. */
class RoomCounts {
  private readonly byRequest = new Map<string, boolean>();

  constructor(private readonly options: WaitMonitorOptions) {}

  hasRoom(job: JobState, {occurrence, step}: StepPosition): boolean {
    const {tasks} = occurrence.steps[step]!;
    const task = tasks.find(({state}) => state === 'waiting');
    if (!task) return false;
    const {workers, contexts} = this.options;
    const service = contexts.serviceOf(job);
    const request = requestKeyOf(task, service);
    const known = this.byRequest.get(request);
    if (known !== undefined) return known;
    const hasRoom = countWithRoom(task, service, workers.values()) > 0;
    this.byRequest.set(request, hasRoom);
    return hasRoom;
  }
}

function requestKeyOf({step}: TaskState, service: string): string {
  const {cpuMillicores, memoryMb, acceleratorCount, requiredLabel} = step;
  const amounts = [cpuMillicores, memoryMb, acceleratorCount];
  return [service, requiredLabel, step.usesLeftoverCpu, ...amounts].join();
}

/** Returns the ready step that has been idle for the longest time. */
function findIdleStep(
  job: JobState,
  nowMs: number,
): {position: StepPosition; idleMs: number} | undefined {
  let found: {position: StepPosition; idleMs: number} | undefined;
  for (const occurrence of job.occurrences.values()) {
    if (occurrence.isDone) continue;
    for (let step = 0; step < occurrence.steps.length; step++) {
      const sinceMs = job.idleSinceMs(occurrence, step);
      if (sinceMs === undefined) continue;
      const idleMs = nowMs - sinceMs;
      if (found && idleMs <= found.idleMs) continue;
      found = {position: {occurrence, step}, idleMs};
    }
  }
  return found;
}
