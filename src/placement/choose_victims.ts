import {Urgency} from '../contracts/urgency.js';
import {ResourceAmounts} from './resource_amounts.js';
import {TaskRecord} from './task_record.js';
import {WorkerRecord} from './worker_record.js';

/** Time in ms that a restart takes in addition to the lost work. */
const RESTART_OVERHEAD_MS = 2_000;
/**
 * Fixed cost per eviction, which favours a few large victims over many small.
 */
const EVICTION_COST = 20_000;
/**
 * Cost factor of standard work, so that it is evicted only where evicting batch
 * work can't free enough resources.
 */
const STANDARD_URGENCY_FACTOR = 8;
/** Lower bound of a task's value, so that worthless work still has a cost. */
const MIN_VALUE = 0.1;

/** Options of {@link chooseVictims}. */
export interface ChooseVictimsOptions {
  /**
   * Ratio of a customer's usage to its share: 1 means at its share, 2 means
   * twice its share.
   *
   * @default 1 for every customer
   */
  shareUsageRatio?: (customer: string) => number;
  /** Returns true for tasks that must not be evicted. @default none */
  isProtected?: (taskId: string) => boolean;
}

/** Tasks to evict from one worker. */
export interface VictimChoice {
  victims: TaskRecord[];
  /** Sum of the eviction costs of the victims. */
  cost: number;
}

/**
 * Chooses evictable tasks of one worker, cheapest first, whose eviction
 * satisfies a need. Urgent tasks are never chosen, and every victim is
 * necessary.
 *
 * @returns The victims; undefined if evicting all evictable tasks would not
 *     free enough resources.
 */
export function chooseVictims(
  record: WorkerRecord,
  need: ResourceAmounts,
  options: ChooseVictimsOptions = {},
): VictimChoice | undefined {
  const shortage: ResourceAmounts = {
    processors: need.processors - record.free.processors,
    memory: need.memory - record.free.memory,
    accelerators: need.accelerators - record.free.accelerators,
  };
  const ranked = [...record.tasks]
    .filter((entry) => entry.isEvictable && reducesShortage(entry, shortage))
    .filter((entry) => !options.isProtected?.(entry.task.taskId))
    .map((entry) => ({entry, cost: evictionCost(entry, options)}))
    .sort((one, other) => one.cost - other.cost);
  const chosen: Array<{entry: TaskRecord; cost: number}> = [];
  for (const candidate of ranked) {
    if (isCovered(shortage)) break;
    if (!reducesShortage(candidate.entry, shortage)) continue;
    chosen.push(candidate);
    change(shortage, {entry: candidate.entry, sign: -1});
  }
  if (!isCovered(shortage)) return undefined;
  return dropRedundantVictims(chosen, shortage);
}

/**
 * Returns the relative cost of evicting one task. It has no unit and is only
 * meaningful compared with the cost of other tasks.
 */
export function evictionCost(
  entry: TaskRecord,
  options: ChooseVictimsOptions = {},
): number {
  const {task, units} = entry;
  const processors = Math.max(0.1, units.processors / 1000);
  const lostMs =
    (RESTART_OVERHEAD_MS + task.lostWorkMs) * processors + EVICTION_COST;
  const shareUsageRatio = Math.max(
    0.25,
    options.shareUsageRatio?.(task.customer) ?? 1,
  );
  const factor =
    task.urgency === Urgency.STANDARD ? STANDARD_URGENCY_FACTOR : 1;
  return (lostMs * Math.max(MIN_VALUE, task.value) * factor) / shareUsageRatio;
}

/** Drops victims that are not necessary, most expensive first. */
function dropRedundantVictims(
  chosen: Array<{entry: TaskRecord; cost: number}>,
  shortage: ResourceAmounts,
): VictimChoice {
  const victims: TaskRecord[] = [];
  let total = 0;
  for (let i = chosen.length - 1; i >= 0; i--) {
    const {entry, cost} = chosen[i]!;
    change(shortage, {entry, sign: 1});
    if (isCovered(shortage)) continue;
    change(shortage, {entry, sign: -1});
    victims.push(entry);
    total += cost;
  }
  return {victims, cost: total};
}

function reducesShortage(
  entry: TaskRecord,
  shortage: ResourceAmounts,
): boolean {
  const {units} = entry;
  return (
    (shortage.processors > 0 && units.processors > 0) ||
    (shortage.memory > 0 && units.memory > 0) ||
    (shortage.accelerators > 0 && units.accelerators > 0)
  );
}

function isCovered(shortage: ResourceAmounts): boolean {
  return (
    shortage.processors <= 0 &&
    shortage.memory <= 0 &&
    shortage.accelerators <= 0
  );
}

function change(
  shortage: ResourceAmounts,
  {entry, sign}: {entry: TaskRecord; sign: number},
): void {
  shortage.processors += sign * entry.units.processors;
  shortage.memory += sign * entry.units.memory;
  shortage.accelerators += sign * entry.units.accelerators;
}
