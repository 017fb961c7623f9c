import {Urgency} from '../contracts/urgency.js';
import {FreeUnits} from './free_units.js';
import {TaskRecord} from './task_record.js';
import {WorkerRecord} from './worker_record.js';

/** Time in ms that a restart takes beside the work that is lost. */
const RESTART_MS = 2_000;
/** Cost of any eviction, so that few large tasks go rather than many small. */
const EVICTION_COST = 20_000;
/** Standard work is evicted only where batch work can't make room. */
const STANDARD_FACTOR = 8;
const VALUE_FLOOR = 0.1;

/** Options of {@link chooseVictims}. */
export interface ChooseVictimsOptions {
  /**
   * How far a customer is above its share: 1 means at its share, 2 twice.
   *
   * @default every customer is at its share
   */
  overShare?: (customer: string) => number;
  /** Tasks that must be spared. @default none */
  isSpared?: (taskId: string) => boolean;
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
  need: FreeUnits,
  options: ChooseVictimsOptions = {},
): VictimChoice | undefined {
  const missing: FreeUnits = {
    processors: need.processors - record.free.processors,
    memory: need.memory - record.free.memory,
    accelerators: need.accelerators - record.free.accelerators,
  };
  const ranked = [...record.tasks]
    .filter((entry) => entry.isEvictable && helps(entry, missing))
    .filter((entry) => !options.isSpared?.(entry.task.taskId))
    .map((entry) => ({entry, cost: evictionCost(entry, options)}))
    .sort((one, other) => one.cost - other.cost);
  const chosen: Array<{entry: TaskRecord; cost: number}> = [];
  for (const candidate of ranked) {
    if (isCovered(missing)) break;
    if (!helps(candidate.entry, missing)) continue;
    chosen.push(candidate);
    change(missing, {entry: candidate.entry, sign: -1});
  }
  if (!isCovered(missing)) return undefined;
  return withoutSpare(chosen, missing);
}

/** Cost of the eviction of one task; comparable between tasks only. */
export function evictionCost(
  entry: TaskRecord,
  options: ChooseVictimsOptions = {},
): number {
  const {task, units} = entry;
  const processors = Math.max(0.1, units.processors / 1000);
  const lostMs = (RESTART_MS + task.lostWorkMs) * processors + EVICTION_COST;
  const overShare = Math.max(0.25, options.overShare?.(task.customer) ?? 1);
  const factor = task.urgency === Urgency.STANDARD ? STANDARD_FACTOR : 1;
  return (lostMs * Math.max(VALUE_FLOOR, task.value) * factor) / overShare;
}

/** Leaves out, dearest first, each victim that turned out not to be needed. */
function withoutSpare(
  chosen: Array<{entry: TaskRecord; cost: number}>,
  missing: FreeUnits,
): VictimChoice {
  const victims: TaskRecord[] = [];
  let total = 0;
  for (let i = chosen.length - 1; i >= 0; i--) {
    const {entry, cost} = chosen[i]!;
    change(missing, {entry, sign: 1});
    if (isCovered(missing)) continue;
    change(missing, {entry, sign: -1});
    victims.push(entry);
    total += cost;
  }
  return {victims, cost: total};
}

function helps(entry: TaskRecord, missing: FreeUnits): boolean {
  const {units} = entry;
  return (
    (missing.processors > 0 && units.processors > 0) ||
    (missing.memory > 0 && units.memory > 0) ||
    (missing.accelerators > 0 && units.accelerators > 0)
  );
}

function isCovered(missing: FreeUnits): boolean {
  return (
    missing.processors <= 0 && missing.memory <= 0 && missing.accelerators <= 0
  );
}

function change(
  missing: FreeUnits,
  {entry, sign}: {entry: TaskRecord; sign: number},
): void {
  missing.processors += sign * entry.units.processors;
  missing.memory += sign * entry.units.memory;
  missing.accelerators += sign * entry.units.accelerators;
}
