import {CrashPart} from '../../work/crash_part.js';
import {CrashRole} from '../../work/crash_role.js';
import {TaskState} from '../runs/task_state.js';

/** A worker crash whose cause is sought. */
export interface CrashScene {
  /** Tasks that ran or may have run on the worker. */
  tasks: Iterable<TaskState>;
  /** Time in ms at which the worker stopped to answer. */
  lostMs: number;
  /**
   * Whether the worker was lost at that time, not before. If not, no start is
   * known to have come immediately before the crash.
   *
   * @default true
   */
  isLossTimeKnown?: boolean;
  /**
   * Whether the machine of the worker has crashed lately under other tasks
   * without a known cause; the machine itself is then as likely a cause.
   *
   * @default false
   */
  isMachineUnreliable?: boolean;
  /**
   * Whether many workers were lost at the same time. Then only a task that had
   * just started may be the cause: several tasks may crash workers at once.
   *
   * @default false
   */
  isWidespread?: boolean;
  /**
   * Whether the worker ran something that belongs to none of the tasks.
   *
   * @default false
   */
  hasOrphans?: boolean;
}

/**
 * Time in ms before a crash within which a start may have caused it. A task
 * that crashes its worker usually does so when it starts.
 */
const RECENT_START_MS = 1500;

/**
 * Time in ms before a crash within which a start is the most likely cause. At
 * hundreds of starts a second, few tasks are innocent and so close to it.
 */
const IMMEDIATE_START_MS = 300;

/**
 * The same for a suspect. Nothing else starts beside it until it has run for this
 * time, so that a crash that is noticed late still has a single likely cause.
 */
const SUSPECT_START_MS = 500;

/**
 * Returns the part of each task in the crash of their worker; tasks that are
 * not listed had none. The suspects of one job are the cause if nothing else
 * has just started or may have started unseen. Otherwise the tasks that have
 * just started and earlier suspects are suspect, or all tasks if none has just
 * started.
 */
export function attributeCrash(scene: CrashScene): Map<TaskState, CrashPart> {
  const present = findPresent(scene);
  const suspects = present.filter((task) => task.isSuspect);
  const recent = present.filter(startedWithin(RECENT_START_MS, scene));
  const starting = findStarting(present, scene);
  const candidates = starting.length > 0 ? starting : suspects;
  if (areOfOneJob(candidates) && candidates.some((task) => task.isSuspect)) {
    if (scene.isMachineUnreliable) {
      return describeParts(scene, {only: candidates});
    }
    return describeParts(scene, {causes: candidates, bystanders: recent});
  }
  const possible = [...new Set([...starting, ...suspects])];
  if (possible.length === 0) return describeParts(scene, {suspects: present});
  return describeParts(scene, {suspects: possible, bystanders: present});
}

/** Returns whether there are tasks, all of one job. */
function areOfOneJob(tasks: readonly TaskState[]): boolean {
  const [first] = tasks;
  return first !== undefined && tasks.every(({job}) => job === first.job);
}

/**
 * Returns the tasks of which a start is most likely to have caused the crash. An
 * order that nobody has seen carried out may have been so at any time.
 */
function findStarting(
  present: readonly TaskState[],
  scene: CrashScene,
): readonly TaskState[] {
  const unproven = present.filter((task) => task.isSuspect && !task.isProven);
  const inDoubt = present.filter(({hasBegun}) => !hasBegun);
  const immediate = present.filter(startedImmediatelyBefore(scene));
  const recent = present.filter(startedWithin(RECENT_START_MS, scene));
  const latest = [...unproven, ...immediate];
  return [...new Set([...(latest.length > 0 ? latest : recent), ...inDoubt])];
}

/**
 * Returns the tasks of which a run had been sent to the worker before it stopped
 * to answer; of a widespread loss, only those that may have caused this one.
 */
function findPresent(scene: CrashScene): readonly TaskState[] {
  const present = findSent(scene);
  if (!scene.isWidespread) return present;
  const isImmediate = startedImmediatelyBefore(scene);
  const isUnproven = isUnprovenStart(scene);
  return present.filter((task) => {
    if (isImmediate(task) || !task.isSuspect) return isImmediate(task);
    return isUnproven(task) || (!task.isProven && task.startedMs === -Infinity);
  });
}

/**
 * Returns whether a task has just started and not run long enough to show that
 * this was harmless.
 */
function isUnprovenStart(scene: CrashScene): (task: TaskState) => boolean {
  const {isLossTimeKnown = true} = scene;
  const isRecent = startedWithin(RECENT_START_MS, scene);
  return (task) => isLossTimeKnown && !task.isProven && isRecent(task);
}

function findSent({tasks, lostMs}: CrashScene): readonly TaskState[] {
  return [...tasks].filter(
    ({state, startedMs}) => state !== 'assigned' && startedMs <= lostMs,
  );
}

/** Returns whether only one job was on the worker, and only it was lost. */
function isOneJobAlone(scene: CrashScene): boolean {
  const {hasOrphans = false, isWidespread = false} = scene;
  return !hasOrphans && !isWidespread && areOfOneJob(findSent(scene));
}

function startedImmediatelyBefore(
  scene: CrashScene,
): (task: TaskState) => boolean {
  const {isLossTimeKnown = true} = scene;
  if (!isLossTimeKnown) return () => false;
  const isImmediate = startedWithin(IMMEDIATE_START_MS, scene);
  const isWithinProof = startedWithin(SUSPECT_START_MS, scene);
  return (task) =>
    isImmediate(task) ||
    (task.isSuspect && !task.isProven && isWithinProof(task));
}

function startedWithin(
  durationMs: number,
  {lostMs}: CrashScene,
): (task: TaskState) => boolean {
  return ({startedMs}) => lostMs - startedMs <= durationMs;
}

/** Assigns each task the first of the given roles that it has. */
function describeParts(
  scene: CrashScene,
  tasks: {
    causes?: readonly TaskState[];
    /** Suspects beside which only the machine may be the cause. */
    only?: readonly TaskState[];
    suspects?: readonly TaskState[];
    bystanders?: readonly TaskState[];
  },
): Map<TaskState, CrashPart> {
  const isImmediate = startedImmediatelyBefore(scene);
  const isUnproven = isUnprovenStart(scene);
  const isAlone = isOneJobAlone(scene);
  const parts = new Map<TaskState, CrashPart>();
  const {causes = [], only = [], suspects = [], bystanders = []} = tasks;
  const add = (task: TaskState, role: CrashRole): void => {
    if (parts.has(task)) return;
    const {hasBegun} = task;
    parts.set(task, {
      role,
      isImmediate: isImmediate(task),
      isUnproven: isUnproven(task),
      hasBegun,
      isAlone,
      isOnlyTask: causes.includes(task) || only.includes(task),
    });
  };
  for (const task of causes) add(task, CrashRole.CAUSE);
  for (const task of [...only, ...suspects]) add(task, CrashRole.SUSPECT);
  for (const task of bystanders) add(task, CrashRole.BYSTANDER);
  return parts;
}
