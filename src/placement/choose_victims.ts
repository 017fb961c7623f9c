import {Urgency} from '../contracts/urgency.js';
import {ResourceAmounts} from './resource_amounts.js';
import {TaskRecord} from './task_record.js';
import {WorkerRecord} from './worker_record.js';

/** Time in ms that a restart takes beside the work that is lost. */
const RESTART_OVERHEAD_MS = 2_000;
/** Cost of any eviction, so that few large tasks go rather than many small. */
const EVICTION_COST = 20_000;
/** Standard work is evicted only where batch work can't make room. */
const STANDARD_URGENCY_FACTOR = 8;
const MIN_VALUE = 0.1;

/** Options of {@link chooseVictims}. */
export interface ChooseVictimsOptions {
  /**
   * How far a customer is above its share: 1 means at its share, 2 twice.
   *
   * @default every customer is at its share
   */
  shareUsageRatio?: (customer: string) => number;
  /** Tasks that must be spared. @default none */
  isProtected?: (taskId: string) => boolean;
}

/** Tasks to evict from one worker. */
export interface VictimChoice {
  victims: TaskRecord[];
  /** Sum of the costs of the victims. */
  cost: number;
}

/**
 * Chooses the cheapest evictable tasks of one worker that make room for a
 * need. Urgent tasks are never chosen, and no victim could be left out.
 *
 * @returns The victims; undefined if all evictable tasks are not enough.
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

/** Cost of the eviction of one task; comparable between tasks only. */
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

/** Leaves out, dearest first, each victim that turned out not to be needed. */
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
