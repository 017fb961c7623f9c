import {StepDefinition} from '../work/job_definition.js';

/** Whose step is placed. */
export interface StepOrigin {
  service: string;
  jobId: string;
  /** Only some workers may run the step. @default false */
  needsAdvice?: boolean;
}

/**
 * Steps of which a task found no worker in one pass over the waiting jobs, so
 * that others that need as much are not tried again in the same pass.
 */
export class UnplaceableSteps {
  /** Least processors in thousandths of a core that did not fit, by shape. */
  private readonly minCpuByShape = new Map<string, number>();

  /** Notes that no worker can take a task of a step. */
  add(step: StepDefinition, origin: StepOrigin): void {
    const shape = shapeKeyOf(step, origin);
    const known = this.minCpuByShape.get(shape) ?? Infinity;
    this.minCpuByShape.set(shape, Math.min(known, step.cpuMillicores));
  }

  /** Tells whether a step that needs no more did not fit. */
  includes(step: StepDefinition, origin: StepOrigin): boolean {
    const minCpu = this.minCpuByShape.get(shapeKeyOf(step, origin));
    return minCpu !== undefined && step.cpuMillicores >= minCpu;
  }
}

/** Steps of one shape differ in the processors that they need. */
function shapeKeyOf(step: StepDefinition, origin: StepOrigin): string {
  const {memoryMb, acceleratorCount, requiredLabel, image} = step;
  const isJobSpecific = step.mostPerWorker > 0 || origin.needsAdvice === true;
  const jobScope = isJobSpecific ? origin.jobId : '';
  const common = [origin.service, requiredLabel, jobScope];
  // Processors decide where tasks on leftover processors fit, memory seldom.
  if (step.usesLeftoverCpu) return ['fill', image, ...common].join();
  return ['', memoryMb, acceleratorCount, ...common].join();
}
