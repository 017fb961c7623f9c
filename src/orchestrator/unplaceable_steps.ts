import {StepDefinition} from '../work/job_definition.js';

/** Service and job that a step belongs to. */
export interface StepOrigin {
  service: string;
  jobId: string;
  /** Whether the advice service restricts the workers. @default false */
  needsAdvice?: boolean;
}

/**
 * Steps for which no worker was found in one scheduling pass, so that steps
 * that need as much are skipped for the rest of the pass.
 */
export class UnplaceableSteps {
  /** Smallest CPU request in millicores that did not fit, by shape. */
  private readonly minCpuByShape = new Map<string, number>();

  /** Records that no worker can accept a task of a step. */
  add(step: StepDefinition, origin: StepOrigin): void {
    const shape = shapeKeyOf(step, origin);
    const known = this.minCpuByShape.get(shape) ?? Infinity;
    this.minCpuByShape.set(shape, Math.min(known, step.cpuMillicores));
  }

  /** Returns whether a step with the same or a smaller need did not fit. */
  includes(step: StepDefinition, origin: StepOrigin): boolean {
    const minCpu = this.minCpuByShape.get(shapeKeyOf(step, origin));
    return minCpu !== undefined && step.cpuMillicores >= minCpu;
  }
}

/** Steps with the same key differ at most in the CPU that they request. */
function shapeKeyOf(step: StepDefinition, origin: StepOrigin): string {
  const {memoryMb, acceleratorCount, requiredLabel, image} = step;
  const isJobSpecific = step.mostPerWorker > 0 || origin.needsAdvice === true;
  const jobScope = isJobSpecific ? origin.jobId : '';
  const common = [origin.service, requiredLabel, jobScope];
  // Memory rarely decides where a best-effort task fits, so CPU alone counts.
  if (step.usesLeftoverCpu) return ['fill', image, ...common].join();
  return ['', memoryMb, acceleratorCount, ...common].join();
}
