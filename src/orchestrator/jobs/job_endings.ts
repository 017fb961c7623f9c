import {Clock} from '../../clock/clock.js';
import {NodeLog} from '../../logging/node_log.js';
import {JobPhase} from '../../work/job_definition.js';
import {HeldTasks} from '../runs/held_tasks.js';
import {JobIndex} from './job_index.js';
import {JobState} from './job_state.js';
import {OrchestratorEffects} from '../orchestrator_effects.js';
import {OrchestratorEvent} from '../orchestrator_event.js';
import {RunStops} from '../runs/run_stops.js';

/** Options of {@link JobEndings}. */
export interface JobEndingsOptions {
  clock: Clock;
  log: NodeLog;
  jobs: JobIndex;
  tasks: HeldTasks;
  stops: RunStops;
  effects: Pick<OrchestratorEffects, 'publishPhases'>;
  /** Counts an event in the metrics. @default not counted */
  countEvent?: (event: OrchestratorEvent) => void;
  /** Returns the objective of a job in ms. */
  objectiveMsOf: (job: JobState) => number;
  /** Called with each job that has ended, which is to be stored. */
  onEnded: (job: JobState) => void;
}

/** Why a job has failed, for the log. */
export interface FailureCause {
  cause?: string;
  /** Name of the task that failed the job. */
  task?: string;
}

/** Ends jobs, and publishes their phases once these are stored. */
export class JobEndings {
  constructor(private readonly options: JobEndingsOptions) {}

  /** Ends a job in a final phase and stops its runs. */
  end(job: JobState, phase: JobPhase, cause: FailureCause = {}): void {
    const {jobs, tasks, stops, countEvent, onEnded} = this.options;
    job.phase = phase;
    jobs.finish(job);
    tasks.recordEnded(job);
    if (phase === JobPhase.FAILED) countEvent?.(OrchestratorEvent.JOB_FAILED);
    this.log(job, cause);
    for (const task of job.tasks()) {
      if (task.state === 'running') stops.request(task, 'job-ended');
    }
    onEnded(job);
  }

  /** Publishes phases that were just stored. */
  publish(phases: ReadonlyArray<[jobId: string, phase: JobPhase]>): void {
    const {clock, jobs, effects} = this.options;
    const nowMs = clock.nowMs();
    for (const [jobId] of phases) {
      const job = jobs.byId.get(jobId);
      // The retention time starts when callers can see the final phase.
      if (job?.isFinal) job.finalSinceMs = Math.min(job.finalSinceMs, nowMs);
    }
    effects.publishPhases(phases);
  }

  private log(job: JobState, cause: FailureCause): void {
    const {clock, log, objectiveMsOf} = this.options;
    log.logDecision('job-ended', {
      job: job.definition.id,
      phase: job.phase,
      ...cause,
      queue: job.definition.queue,
      ageMs: Math.round(clock.wallMs() - job.acceptedWallMs),
      objectiveMs: objectiveMsOf(job),
      ...job.history.summary(),
    });
  }
}
