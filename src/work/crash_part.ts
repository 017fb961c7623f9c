import {CrashRole} from './crash_role.js';

/** Part that a task may have had in the crash of its worker. */
export interface CrashPart {
  role: CrashRole;
  /** Whether the worker crashed immediately after the start of the task. */
  isImmediate: boolean;
}
