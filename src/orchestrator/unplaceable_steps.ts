import {StepDefinition} from '../work/job_definition.js';

/** Service and job that a step belongs to. */
export interface StepOrigin {
  service: string;
  jobId: string;
  /** Whether the advice service restricts the workers. @default false */
  needsAdvice?: boolean;
}

/** A scheduling pass and its time. */
export interface PassTime {
  /** Number of the pass, increasing. */
  pass: number;
  nowMs: number;
}

interface FailedShape {
  /** Smallest CPU request in millicores that did not fit. */
  minCpu: number;
  /** Pass in which no worker had capacity for `minCpu`. */
  pass: number;
  /** Time in ms at which all workers were last evaluated. */
  fullSearchMs: number;
}

/**
 * Interval in ms at which all workers are evaluated again for a step that did
 * not fit. Capacity also appears without a change of the worker, when a block
 * ends or an estimate improves.
 */
const FULL_SEARCH_INTERVAL_MS = 300;

/**
 * Remembers steps for which no worker was found. For the rest of a pass, steps
 * that need as much are skipped. In later passes only workers that have changed
 * since are evaluated, so that waiting jobs cost little while nothing changes.
 */
export class UnplaceableSteps {
  private time: PassTime = {pass: 0, nowMs: -Infinity};
  /** Smallest CPU request that did not fit in the current pass, by shape. */
  private readonly minCpuByShape = new Map<string, number>();
  private readonly failedShapes = new Map<string, FailedShape>();

  /** Begins a scheduling pass. */
  beginPass(time: PassTime): void {
    this.time = time;
    this.minCpuByShape.clear();
    for (const [shape, {fullSearchMs}] of this.failedShapes) {
      if (time.nowMs - fullSearchMs < FULL_SEARCH_INTERVAL_MS) continue;
      this.failedShapes.delete(shape);
    }
  }

  /** Records that no worker can accept a task of a step. */
  add(step: StepDefinition, origin: StepOrigin): void {
    const shape = shapeKeyOf(step, origin);
    const {cpuMillicores} = step;
    const known = this.minCpuByShape.get(shape) ?? Infinity;
    this.minCpuByShape.set(shape, Math.min(known, cpuMillicores));
    if (isJobSpecific(step, origin)) return;
    const failed = this.failedShapes.get(shape);
    if (failed && cpuMillicores > failed.minCpu) return;
    const wasPartialSearch = failed && cpuMillicores === failed.minCpu;
    this.failedShapes.set(shape, {
      minCpu: cpuMillicores,
      pass: this.time.pass,
      fullSearchMs: wasPartialSearch ? failed.fullSearchMs : this.time.nowMs,
    });
  }

  /**
   * Returns whether a step with the same or a smaller need did not fit in this
   * pass.
   */
  includes(step: StepDefinition, origin: StepOrigin): boolean {
    const minCpu = this.minCpuByShape.get(shapeKeyOf(step, origin));
    return minCpu !== undefined && step.cpuMillicores >= minCpu;
  }

  /**
   * Returns the earlier pass in which no worker could accept the step; workers
   * that have not changed since still cannot. Undefined if there is none.
   */
  failedPassOf(step: StepDefinition, origin: StepOrigin): number | undefined {
    const failed = this.failedShapes.get(shapeKeyOf(step, origin));
    if (!failed || step.cpuMillicores < failed.minCpu) return undefined;
    return failed.pass;
  }
}

function isJobSpecific(step: StepDefinition, origin: StepOrigin): boolean {
  return step.mostPerWorker > 0 || origin.needsAdvice === true;
}

/** Steps with the same key differ at most in the CPU that they request. */
function shapeKeyOf(step: StepDefinition, origin: StepOrigin): string {
  const {memoryMb, acceleratorCount, requiredLabel, image} = step;
  const jobScope = isJobSpecific(step, origin) ? origin.jobId : '';
  const common = [origin.service, requiredLabel, jobScope];
  // Memory rarely decides where a best-effort task fits, so CPU alone counts.
  if (step.usesLeftoverCpu) return ['fill', image, ...common].join();
  return ['', memoryMb, acceleratorCount, ...common].join();
}
