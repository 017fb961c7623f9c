import {CrashRole} from '../work/crash_role.js';
import {TaskState} from './task_state.js';

/** A worker crash whose cause is sought. */
export interface CrashScene {
  /** Tasks that ran or may have run on the worker. */
  tasks: Iterable<TaskState>;
  /** Time in ms at which the worker stopped to answer. */
  lostMs: number;
  /**
   * Whether the machine of the worker has crashed lately under other tasks
   * without a known cause; the machine itself is then as likely a cause.
   *
   * @default false
   */
  isMachineUnreliable?: boolean;
  /**
   * Whether many workers were lost at the same time; only tasks that were
   * suspect before remain so.
   *
   * @default false
   */
  isWidespread?: boolean;
}

/**
 * Time in ms before a crash within which a start may have caused it. A task
 * that crashes its worker usually does so when it starts.
 */
export const RECENT_START_MS = 1500;

/**
 * Returns the part of each task in the crash of their worker; tasks that are
 * not listed had none. A suspect is the cause if nothing else has just started.
 * Otherwise the tasks that have just started and earlier suspects are suspect,
 * or all tasks if none has just started.
 */
export function attributeCrash(
  scene: CrashScene,
): ReadonlyMap<TaskState, CrashRole> {
  const present = [...scene.tasks].filter((task) => isPresent(task, scene));
  const suspects = present.filter((task) => task.isSuspect);
  if (scene.isWidespread) return assignRoles(suspects, []);
  const unproven = suspects.filter((task) => !task.isProven);
  const recent = present.filter(
    ({startedMs}) => scene.lostMs - startedMs <= RECENT_START_MS,
  );
  const starting = [...new Set([...unproven, ...recent])];
  const candidates = starting.length > 0 ? starting : suspects;
  const [candidate] = candidates;
  if (candidates.length === 1 && candidate!.isSuspect) {
    return assignCause(candidate!, scene);
  }
  const possible = new Set([...starting, ...suspects]);
  if (possible.size === 0) return assignRoles(present, []);
  const others = present.filter((task) => !possible.has(task));
  return assignRoles([...possible], others);
}

/** Whether a run had been sent to the worker before it stopped to answer. */
function isPresent(task: TaskState, {lostMs}: CrashScene): boolean {
  return task.state !== 'assigned' && task.startedMs <= lostMs;
}

function assignCause(
  task: TaskState,
  {isMachineUnreliable = false}: CrashScene,
): ReadonlyMap<TaskState, CrashRole> {
  const role = isMachineUnreliable ? CrashRole.SUSPECT : CrashRole.CAUSE;
  return new Map([[task, role]]);
}

function assignRoles(
  suspects: readonly TaskState[],
  bystanders: readonly TaskState[],
): ReadonlyMap<TaskState, CrashRole> {
  return new Map<TaskState, CrashRole>([
    ...suspects.map((task) => [task, CrashRole.SUSPECT] as const),
    ...bystanders.map((task) => [task, CrashRole.BYSTANDER] as const),
  ]);
}
