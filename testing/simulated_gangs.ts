import {EndKind} from '../src/orchestrator/workers/worker_port.js';
import {StepDefinition} from '../src/work/job_definition.js';
import {SimulatedTaskWorker} from './simulated_task_worker.js';

/** Options of {@link SimulatedGangs}. */
export interface SimulatedGangsOptions {
  /** Workers by id. */
  workers: ReadonlyMap<string, SimulatedTaskWorker>;
  /** Returns the step of a task. */
  stepOf: (task: string) => StepDefinition;
}

/** Time in ms for which the members of a gang wait for each other. */
const GANG_TIMEOUT_MS = 3000;

/**
 * What simulated workers do to gangs: members wait for each other for a time,
 * and end together.
 */
export class SimulatedGangs {
  /** Time in ms since which a gang lacks members, by the name of its step. */
  private readonly incompleteSinceMs = new Map<string, number>();

  constructor(private readonly options: SimulatedGangsOptions) {}

  /** Ends the members of gangs that have waited too long for the others. */
  endIncomplete(nowMs: number): void {
    for (const [step, sinceMs] of this.incompleteSinceMs) {
      if (nowMs - sinceMs < GANG_TIMEOUT_MS) continue;
      this.incompleteSinceMs.delete(step);
      this.endGang(step, EndKind.GANG_INCOMPLETE);
    }
    for (const worker of this.options.workers.values()) {
      for (const task of worker.running) this.check(task, nowMs);
    }
  }

  /** Ends the other members of the gangs of which a worker lost a member. */
  breakGangs(lost: readonly string[]): void {
    for (const task of lost) {
      if (!this.options.stepOf(task).isGang) continue;
      this.endGang(stepNameOf(task), EndKind.GANG_BROKEN);
    }
  }

  /** Ends a run; members of a gang succeed together, or not at all. */
  finish(worker: SimulatedTaskWorker, task: string, kind: EndKind): void {
    const {isGang} = this.options.stepOf(task);
    const step = stepNameOf(task);
    if (!isGang) worker.finish(task, kind);
    else if (kind === EndKind.DONE) {
      if (!this.incompleteSinceMs.has(step)) this.endGang(step, kind);
    } else {
      worker.finish(task, kind);
      this.endGang(step, EndKind.GANG_BROKEN);
    }
  }

  private check(task: string, nowMs: number): void {
    const {isGang, taskCount} = this.options.stepOf(task);
    if (!isGang) return;
    const step = stepNameOf(task);
    const present = [...this.options.workers.values()].flatMap(({running}) =>
      running.filter((member) => stepNameOf(member) === step),
    );
    if (present.length === taskCount) this.incompleteSinceMs.delete(step);
    else if (!this.incompleteSinceMs.has(step)) {
      this.incompleteSinceMs.set(step, nowMs);
    }
  }

  private endGang(step: string, kind: EndKind): void {
    for (const worker of this.options.workers.values()) {
      for (const member of worker.running) {
        if (stepNameOf(member) === step) worker.finish(member, kind);
      }
    }
  }
}

/** Returns the name of the step and occurrence that a task belongs to. */
export function stepNameOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}
