import {CrashRole} from '../work/crash_role.js';
import {StoredCrashCounts} from '../work/stored_crash_counts.js';

/** Worker crashes whose only likely cause a task was, after which it ends. */
const MAX_CAUSED = 2;

/**
 * Worker crashes in any role after which a task ends, even if other tasks on
 * the workers kept the cause open each time.
 */
const MAX_CRASHES = 4;

/** Crashes beside a more likely cause after which a task is suspect itself. */
const SUSPECT_BESIDE = 2;

/**
 * Worker crashes under the runs of one task since it last ran long enough to be
 * cleared, by the role of the task in them.
 */
export class CrashCounts {
  private caused = 0;
  private suspected = 0;
  private beside = 0;

  /** Whether the task may be what crashed a worker. */
  get isSuspect(): boolean {
    return this.caused + this.suspected > 0 || this.beside >= SUSPECT_BESIDE;
  }

  /** Whether the task has crashed so many workers that it must not start. */
  get isOverLimit(): boolean {
    const total = this.caused + this.suspected + this.beside;
    return this.caused >= MAX_CAUSED || total >= MAX_CRASHES;
  }

  /** Whether more than one worker has crashed under the task. */
  get isRepeated(): boolean {
    return this.caused + this.suspected + this.beside > 1;
  }

  /** Whether no crash is counted. */
  get isEmpty(): boolean {
    return this.caused + this.suspected + this.beside === 0;
  }

  /** Counts one crash. */
  add(role: CrashRole): void {
    if (role === CrashRole.CAUSE) this.caused += 1;
    else if (role === CrashRole.SUSPECT) this.suspected += 1;
    else this.beside += 1;
  }

  /** Forgets all crashes. */
  clear(): void {
    this.restore({caused: 0, suspected: 0, beside: 0});
  }

  /** Replaces the counts by stored ones. */
  restore({caused, suspected, beside}: StoredCrashCounts): void {
    this.caused = caused;
    this.suspected = suspected;
    this.beside = beside;
  }

  /** Returns the counts to store. */
  toRecord(): StoredCrashCounts {
    const {caused, suspected, beside} = this;
    return {caused, suspected, beside};
  }
}
