import {CrashPart} from '../work/crash_part.js';
import {CrashRole} from '../work/crash_role.js';
import {StoredCrashCounts} from '../work/stored_crash_counts.js';

/** Crashes with a task as their only likely cause after which its job ends. */
const MAX_CAUSED = 2;

/**
 * Crashes immediately after a start after which the job of a task ends, if the
 * task was the only likely cause of one of them.
 */
const MAX_IMMEDIATE = 2;

/**
 * Crashes in any role after which the job of a task ends, even if other tasks
 * on the workers kept the cause open each time.
 */
const MAX_CRASHES = 4;

/** Crashes beside a more likely cause after which a task is suspect itself. */
const SUSPECT_BESIDE = 2;

const NO_CRASHES: StoredCrashCounts = {
  caused: 0,
  suspected: 0,
  beside: 0,
  immediate: 0,
};

/**
 * Worker crashes under the runs of one task since it last ran long enough to be
 * cleared, by the part of the task in them.
 */
export class CrashCounts {
  private counts = NO_CRASHES;

  /** Whether the task may be what crashed a worker. */
  get isSuspect(): boolean {
    const {caused, suspected, beside} = this.counts;
    return caused + suspected > 0 || beside >= SUSPECT_BESIDE;
  }

  /** Whether the task has crashed so many workers that it must not start. */
  get isOverLimit(): boolean {
    const {caused, immediate} = this.counts;
    if (caused >= MAX_CAUSED || this.total >= MAX_CRASHES) return true;
    return caused > 0 && immediate >= MAX_IMMEDIATE;
  }

  /** Whether more than one worker has crashed under the task. */
  get isRepeated(): boolean {
    return this.total > 1;
  }

  /** Whether no crash is counted. */
  get isEmpty(): boolean {
    return this.total === 0;
  }

  /** Counts one crash. */
  add({role, isImmediate}: CrashPart): void {
    const {caused, suspected, beside, immediate} = this.counts;
    const isPossibleCause = role !== CrashRole.BYSTANDER;
    this.counts = {
      caused: caused + (role === CrashRole.CAUSE ? 1 : 0),
      suspected: suspected + (role === CrashRole.SUSPECT ? 1 : 0),
      beside: beside + (isPossibleCause ? 0 : 1),
      immediate: immediate + (isPossibleCause && isImmediate ? 1 : 0),
    };
  }

  /** Forgets all crashes. */
  clear(): void {
    this.counts = NO_CRASHES;
  }

  /** Replaces the counts by stored ones. */
  restore(counts: StoredCrashCounts): void {
    this.counts = counts;
  }

  /** Returns the counts to store. */
  toRecord(): StoredCrashCounts {
    return this.counts;
  }

  private get total(): number {
    const {caused, suspected, beside} = this.counts;
    return caused + suspected + beside;
  }
}
