import {JobState, OccurrenceState, StepState} from '../jobs/job_state.js';
import {StepContexts} from './step_contexts.js';
import {holdOf, isDue} from './step_hold.js';
import {WorkerState} from '../workers/worker_state.js';

/** Options of {@link StarvedSteps}. */
export interface StarvedStepsOptions {
  workers: ReadonlyMap<string, WorkerState>;
  contexts: StepContexts;
}

/** A best-effort step of which nothing runs although its service has room. */
export interface StarvedStep {
  job: JobState;
  step: StepState;
}

/**
 * Time in ms after which a best-effort step no longer waits for a worker with
 * headroom. Callers are promised that work starts within 3 s where most of the
 * capacity is free, and a start takes some hundred ms.
 */
const STARVED_AFTER_MS = 1500;

/** Share of the capacity of a service in use up to which it has room. */
const MAX_USED_SHARE = 0.6;

/**
 * Finds best-effort steps that wait for headroom beside latency-critical tasks
 * while most of the capacity of their service is free. The estimates that keep
 * them waiting may never change: they are learned from best-effort tasks that
 * run, and some images fit beside no latency-critical task at full speed.
 */
export class StarvedSteps {
  constructor(private readonly options: StarvedStepsOptions) {}

  /** Returns the starved steps of jobs that wait, in the order of the jobs. */
  find(jobs: Iterable<JobState>, nowMs: number): StarvedStep[] {
    const starved: StarvedStep[] = [];
    for (const job of jobs) {
      for (const occurrence of job.occurrences.values()) {
        if (occurrence.isDone) continue;
        starved.push(...this.findInOccurrence(job, occurrence, nowMs));
      }
    }
    return this.withRoomInService(starved);
  }

  private findInOccurrence(
    job: JobState,
    occurrence: OccurrenceState,
    nowMs: number,
  ): StarvedStep[] {
    return occurrence.steps
      .filter((step, number) => {
        const {usesLeftoverCpu, isLongRunning} = step.tasks[0]!.step;
        if (!usesLeftoverCpu) return false;
        if (holdOf(job, {occurrence, step: number}, nowMs)) return false;
        if (isLongRunning) return hasLongWaiting(step, nowMs);
        if (hasPlacedTask(job)) return false;
        const idleSinceMs = job.idleSinceMs(occurrence, number) ?? nowMs;
        return nowMs - idleSinceMs >= STARVED_AFTER_MS;
      })
      .map((step) => ({job, step}));
  }

  private withRoomInService(steps: readonly StarvedStep[]): StarvedStep[] {
    const hasRoomByService = new Map<string, boolean>();
    return steps.filter(({job}) => {
      const service = this.options.contexts.serviceOf(job);
      const hasRoom =
        hasRoomByService.get(service) ?? this.hasRoomInService(service);
      hasRoomByService.set(service, hasRoom);
      return hasRoom;
    });
  }

  private hasRoomInService(service: string): boolean {
    const total = {cpu: 0, freeCpu: 0, memory: 0, freeMemory: 0};
    for (const worker of this.options.workers.values()) {
      const {registration, isRegistered} = worker;
      if (registration.service !== service || !isRegistered) continue;
      total.cpu += registration.capacity.cpuMillicores;
      total.freeCpu += worker.freeCpu;
      total.memory += registration.capacity.memoryMb;
      total.freeMemory += worker.freeMemoryMb;
    }
    const freeShare = 1 - MAX_USED_SHARE;
    return (
      total.freeCpu >= total.cpu * freeShare &&
      total.freeMemory >= total.memory * freeShare
    );
  }
}

function hasPlacedTask(job: JobState): boolean {
  for (const {isPlaced} of job.tasks()) if (isPlaced) return true;
  return false;
}

function hasLongWaiting({tasks}: StepState, nowMs: number): boolean {
  return tasks.some(
    (task) =>
      isDue(task, nowMs) && nowMs - task.waitingSinceMs >= STARVED_AFTER_MS,
  );
}
