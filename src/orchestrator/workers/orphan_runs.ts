import {StepDefinition} from '../../work/job_definition.js';
import {parseTaskName} from '../../work/task_name.js';
import {JobState} from '../jobs/job_state.js';
import {OrchestratorEffects} from '../orchestrator_effects.js';
import {RunningReport} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/** Options of {@link OrphanRuns}. */
export interface OrphanRunsOptions {
  /** Jobs that are open or finished not long ago, by id. */
  jobs: ReadonlyMap<string, JobState>;
  effects: Pick<OrchestratorEffects, 'stopOrphanRun'>;
}

/**
 * Maximum number of stops that one report causes; the next reports list the
 * others again. A worker runs some hundred tasks.
 */
const MOST_STOPS_PER_REPORT = 500;

/** Stops runs that belong to no task; until they end, their room is used. */
export class OrphanRuns {
  constructor(private readonly options: OrphanRunsOptions) {}

  /** Handles the runs in the report of a worker that belong to no task. */
  handle(runs: readonly RunningReport[], worker: WorkerState): void {
    if (runs.length === 0 && !worker.hasOrphans) return;
    worker.replaceOrphans(runs.map(({task}) => this.stepOf(task)));
    for (const run of runs.slice(0, MOST_STOPS_PER_REPORT)) {
      this.options.effects.stopOrphanRun(run, worker);
    }
  }

  /** Returns the step that a run belongs to; undefined if it is not known. */
  private stepOf(taskName: string): StepDefinition | undefined {
    const name = parseTaskName(taskName);
    if (!name) return undefined;
    return this.options.jobs.get(name.jobId)?.definition.steps[name.step];
  }
}
