import {CrashRole} from './crash_role.js';

/** Part that a task may have had in the crash of its worker. */
export interface CrashPart {
  role: CrashRole;
  /** Whether the worker crashed immediately after the start of the task. */
  isImmediate: boolean;
  /**
   * Whether the worker crashed before the task had run long enough to show that
   * its start was harmless.
   *
   * @default isImmediate
   */
  isUnproven?: boolean;
  /**
   * Whether the run was seen on the worker. If not, only a start was sent.
   *
   * @default false, as in records of builds up to 47249dc
   */
  hasBegun?: boolean;
  /**
   * Whether no other task can be the cause, whatever its role: the machine of
   * the worker may be.
   *
   * @default whether the role is that of the cause
   */
  isOnlyTask?: boolean;
  /** Whether nothing but its job was on the worker. @default false */
  isAlone?: boolean;
}
