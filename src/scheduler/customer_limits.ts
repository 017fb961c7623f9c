import {Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';

/** Limits that a contract sets for a customer on one shard. */
export interface CustomerLimits {
  /** Maximum fraction of the shard's processors and memory, 0 to 1. */
  vmShare: number;
  /** Maximum number of concurrently running tasks. */
  runningTasks: number;
  /** Maximum number of committed accelerators. */
  accelerators: number;
  /** Maximum number of waiting tasks, by urgency. */
  maxWaiting: Record<Urgency, number>;
}

interface Usage extends Resources {
  tasks: number;
}

/** Tracks the resources that the tasks of each customer use on a shard. */
export class CustomerUsage {
  private readonly usage = new Map<string, Usage>();

  /** Adds the resources of a task, or subtracts them if `sign` is -1. */
  adjust(customer: string, resources: Resources, sign: 1 | -1): void {
    const usage = this.usageOf(customer);
    usage.tasks += sign;
    usage.processors += sign * resources.processors;
    usage.memoryMegabytes += sign * resources.memoryMegabytes;
    usage.accelerators += sign * resources.accelerators;
    this.usage.set(customer, usage);
  }

  /** Whether one more task with these resources is within the limits. */
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
