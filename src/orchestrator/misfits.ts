import {StepDefinition} from '../work/job_definition.js';

/** Whose step is placed. */
export interface StepOwner {
  service: string;
  jobId: string;
  /** Only some workers may run the step. @default false */
  needsAdvice?: boolean;
}

/**
 * Steps of which a task found no worker in one pass over the waiting jobs, so
 * that others that need as much are not tried again in the same pass.
 */
export class Misfits {
  /** Least processors in thousandths of a core that did not fit, by shape. */
  private readonly leastCpu = new Map<string, number>();

  /** Notes that no worker can take a task of a step. */
  add(step: StepDefinition, owner: StepOwner): void {
    const shape = shapeOf(step, owner);
    const known = this.leastCpu.get(shape) ?? Infinity;
    this.leastCpu.set(shape, Math.min(known, step.cpuMillicores));
  }

  /** Tells whether a step that needs no more did not fit. */
  includes(step: StepDefinition, owner: StepOwner): boolean {
    const least = this.leastCpu.get(shapeOf(step, owner));
    return least !== undefined && step.cpuMillicores >= least;
  }
}

/** Steps of one shape differ in the processors that they need. */
function shapeOf(step: StepDefinition, owner: StepOwner): string {
  const {memoryMb, acceleratorCount, requiredLabel, image} = step;
  const isOwnCase = step.mostPerWorker > 0 || owner.needsAdvice === true;
  const spread = isOwnCase ? owner.jobId : '';
  const common = [owner.service, requiredLabel, spread];
  // Processors decide where tasks on leftover processors fit, memory seldom.
  if (step.usesLeftoverCpu) return ['fill', image, ...common].join();
  return ['', memoryMb, acceleratorCount, ...common].join();
}
