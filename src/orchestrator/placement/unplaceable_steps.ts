import {StepDefinition} from '../../work/job_definition.js';

/** Service and name of a step. */
export interface StepOrigin {
  service: string;
  /** Name of the step in its job and occurrence. */
  stepName: string;
  /** Whether the advice service restricts the workers. @default false */
  needsAdvice?: boolean;
}

/** A scheduling pass and its time. */
export interface PassTime {
  /** Number of the pass, increasing. */
  pass: number;
  nowMs: number;
}

/** What a task requests of a worker. */
type Request = Pick<StepDefinition, 'cpuMillicores' | 'memoryMb'>;

interface FailedRequest extends Request {
  /** Latest pass in which no worker had capacity for it. */
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
  /** Requests that did not fit in the current pass, by shape. */
  private readonly failedInPass = new Map<string, Request[]>();
  /** Requests that did not fit lately, by shape; none covers another. */
  private readonly failedRequests = new Map<string, FailedRequest[]>();

  /** Begins a scheduling pass. */
  beginPass(time: PassTime): void {
    this.time = time;
    this.failedInPass.clear();
    for (const [shape, failed] of this.failedRequests) {
      const recent = failed.filter(
        ({fullSearchMs}) => time.nowMs - fullSearchMs < FULL_SEARCH_INTERVAL_MS,
      );
      if (recent.length > 0) this.failedRequests.set(shape, recent);
      else this.failedRequests.delete(shape);
    }
  }

  /** Records that no worker can accept a task of a step. */
  add(step: StepDefinition, origin: StepOrigin): void {
    const shape = shapeKeyOf(step, origin);
    const inPass = this.failedInPass.get(shape) ?? [];
    this.failedInPass.set(shape, [...withoutLarger(inPass, step), step]);
    if (!isStepSpecific(step, origin)) this.addFailed(shape, step);
  }

  /**
   * Returns whether a step with the same or a smaller need did not fit in this
   * pass.
   */
  includes(step: StepDefinition, origin: StepOrigin): boolean {
    const failed = this.failedInPass.get(shapeKeyOf(step, origin)) ?? [];
    return failed.some((request) => needsAsMuch(step, request));
  }

  /**
   * Returns the earlier pass in which no worker could accept the step; workers
   * that have not changed since still cannot. Undefined if there is none.
   */
  failedPassOf(step: StepDefinition, origin: StepOrigin): number | undefined {
    const failed = this.failedRequests.get(shapeKeyOf(step, origin)) ?? [];
    return failed.find((request) => needsAsMuch(step, request))?.pass;
  }

  private addFailed(shape: string, step: StepDefinition): void {
    const {pass, nowMs} = this.time;
    const {cpuMillicores, memoryMb} = step;
    const failed = this.failedRequests.get(shape) ?? [];
    const covering = failed.find((request) => needsAsMuch(step, request));
    if (!covering) {
      const added = {cpuMillicores, memoryMb, pass, fullSearchMs: nowMs};
      this.failedRequests.set(shape, [...withoutLarger(failed, step), added]);
      return;
    }
    // The search was restricted to the workers that changed after `pass`. That
    // says nothing about smaller requests.
    if (needsAsMuch(covering, step)) covering.pass = pass;
  }
}

function needsAsMuch(left: Request, right: Request): boolean {
  return (
    left.cpuMillicores >= right.cpuMillicores && left.memoryMb >= right.memoryMb
  );
}

/** Returns the requests that do not need as much as `limit`. */
function withoutLarger<T extends Request>(
  requests: readonly T[],
  limit: Request,
): T[] {
  return requests.filter((request) => !needsAsMuch(request, limit));
}

/** Whether the workers that a step may use depend on its other tasks. */
function isStepSpecific(step: StepDefinition, origin: StepOrigin): boolean {
  return step.mostPerWorker > 0 || origin.needsAdvice === true;
}

/** Steps with the same key differ at most in the CPU and memory they request. */
function shapeKeyOf(step: StepDefinition, origin: StepOrigin): string {
  const {memoryMb, acceleratorCount, requiredLabel, image} = step;
  const scope = isStepSpecific(step, origin) ? origin.stepName : '';
  const common = [origin.service, acceleratorCount, requiredLabel, scope];
  // Few requests for memory decide where a best-effort task fits, so they are
  // compared. Other tasks are told apart by it.
  if (step.usesLeftoverCpu) return ['fill', image, ...common].join();
  return ['', memoryMb, ...common].join();
}
