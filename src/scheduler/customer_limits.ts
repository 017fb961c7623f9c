import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';

/** What a contract allows a customer on one shard. */
export interface CustomerLimits {
  /** Largest part of the shard's processors and memory, 0 to 1. */
  vmShare: number;
  /** Tasks that may run at once. */
  runningTasks: number;
  /** Accelerators that may be committed. */
  accelerators: number;
  /** Tasks of each class that may wait. */
  maxWaiting: Record<Urgency, number>;
}

interface Usage extends Resources {
  tasks: number;
}

/** What the tasks of each customer take of a shard. */
export class CustomerUsage {
  private readonly usage = new Map<string, Usage>();

  /** Adds a task's resources, or takes them away if `sign` is -1. */
  adjust(customer: string, resources: Resources, sign: 1 | -1): void {
    const usage = this.usageOf(customer);
    usage.tasks += sign;
    usage.processors += sign * resources.processors;
    usage.memoryMegabytes += sign * resources.memoryMegabytes;
    usage.accelerators += sign * resources.accelerators;
    this.usage.set(customer, usage);
  }

  /** Tells whether the customer may run one more task. */
  allows(
    customer: string,
    resources: Resources,
    constraints: {limits: CustomerLimits; capacity: Resources},
  ): boolean {
    const {limits, capacity} = constraints;
    const usage = this.usageOf(customer);
    const {vmShare} = limits;
    const processors = usage.processors + resources.processors;
    const memory = usage.memoryMegabytes + resources.memoryMegabytes;
    return (
      usage.tasks < limits.runningTasks &&
      usage.accelerators + resources.accelerators <= limits.accelerators &&
      processors <= vmShare * capacity.processors &&
      memory <= vmShare * capacity.memoryMegabytes
    );
  }

  private usageOf(customer: string): Usage {
    return (
      this.usage.get(customer) ?? {
        tasks: 0,
        processors: 0,
        memoryMegabytes: 0,
        accelerators: 0,
      }
    );
  }
}
