import {CrashPart} from './crash_part.js';

/** Loss of a worker of which it is not known yet whether it crashed. */
export interface StoredLoss {
  workerId: string;
  /** Start time of the incarnation as Unix time in ms; 0 if unknown. */
  bornMs: number;
  address: string;
  /** Part that the task had if the worker crashed. */
  part: CrashPart;
}
