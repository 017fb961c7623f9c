import {Urgency} from '../contracts/urgency.js';
import {TaskRecord} from './task_record.js';
import {WorkerRecord} from './worker_record.js';

/**
 * Returns the slowdown of one kind of work by one neighbour of another kind; 1
 * means none.
 */
export type SlowdownFunction = (kind: string, neighbour: string) => number;

/**
 * Weights by urgency: slowing urgent work down violates its latency guarantees,
 * slowing batch work down only costs time.
 */
const WEIGHTS: Readonly<Record<Urgency, number>> = {
  [Urgency.URGENT]: 4,
  [Urgency.STANDARD]: 1.5,
  [Urgency.BATCH]: 1,
};

/** Values per kind in a worker's counts: kind number, tasks, sum of weights. */
const STRIDE = 3;

/**
 * Computes the cost of the slowdowns that a task would suffer from the tasks of
 * a worker and cause to them. Kinds are numbered and each worker has counts by
 * kind, so a decision computes the slowdown of each pair of kinds once rather
 * than for each candidate.
 */
export class NeighbourCost {
  private readonly kindNumbers = new Map<string, number>();
  private readonly kindNames: string[] = [];
  /** Weighted excess slowdown of the current task by a task of each kind. */
  private ownSlowdowns: number[] = [];
  /** Excess slowdown of a task of each kind by the current task. */
  private causedSlowdowns: number[] = [];
  /** Decision for which the slowdowns of a kind were computed. */
  private computedFor: number[] = [];
  private decision = 0;
  private kind = '';
  private weight = 1;

  constructor(private readonly slowdown: SlowdownFunction) {}

  /** Adds (`change` 1) or removes (-1) a task in the counts of its worker. */
  count({task, record}: TaskRecord, change: 1 | -1): void {
    const {neighbours} = record;
    const kind = this.numberOf(task.kind);
    let at = 0;
    while (at < neighbours.length && neighbours[at] !== kind) at += STRIDE;
    if (at === neighbours.length) neighbours.push(kind, 0, 0);
    neighbours[at + 1]! += change;
    neighbours[at + 2]! += change * WEIGHTS[task.urgency];
    if (neighbours[at + 1]! <= 0) neighbours.splice(at, STRIDE);
  }

  /** Starts a decision for a task of the kind. */
  beginDecision(kind: string, urgency: Urgency): void {
    this.decision += 1;
    this.kind = kind;
    this.weight = WEIGHTS[urgency];
  }

  /** Returns the cost of the worker for the task of the current decision. */
  costOn({neighbours}: WorkerRecord): number {
    let cost = 0;
    for (let at = 0; at < neighbours.length; at += STRIDE) {
      const kind = neighbours[at]!;
      if (this.computedFor[kind] !== this.decision) this.compute(kind);
      cost +=
        neighbours[at + 1]! * this.ownSlowdowns[kind]! +
        neighbours[at + 2]! * this.causedSlowdowns[kind]!;
    }
    return cost;
  }

  private compute(number: number): void {
    const other = this.kindNames[number]!;
    this.ownSlowdowns[number] =
      this.weight * (this.slowdown(this.kind, other) - 1);
    this.causedSlowdowns[number] = this.slowdown(other, this.kind) - 1;
    this.computedFor[number] = this.decision;
  }

  private numberOf(kind: string): number {
    let number = this.kindNumbers.get(kind);
    if (number === undefined) {
      number = this.kindNames.length;
      this.kindNames.push(kind);
      this.kindNumbers.set(kind, number);
      this.ownSlowdowns.push(0);
      this.causedSlowdowns.push(0);
      this.computedFor.push(0);
    }
    return number;
  }
}
