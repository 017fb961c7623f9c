import {CrashPart} from '../../work/crash_part.js';
import {CrashRole} from '../../work/crash_role.js';
import {StoredCrashCounts} from '../../work/stored_crash_counts.js';

/**
 * Crashes immediately after its start, with a task as their only possible cause,
 * after which its job ends.
 */
const MAX_CAUSED = 2;

/**
 * Crashes with a task as their only likely cause after which its job ends, even
 * if none of them is certain.
 */
const MAX_LIKELY = 3;

/**
 * Crashes under runs that were seen after which the job of a task ends, even if
 * other tasks kept the cause open each time. A task that crashes its workers
 * must not be started three times more after three crashes.
 */
const MAX_POSSIBLE = 5;

/** Crashes beside a more likely cause after which a task is suspect itself. */
const SUSPECT_BESIDE = 2;

const NO_CRASHES: StoredCrashCounts = {
  caused: 0,
  causedAlone: 0,
  likely: 0,
  suspected: 0,
  beside: 0,
  inDoubt: 0,
};

/**
 * Worker crashes under the runs of one task since it last ran long enough to be
 * cleared, by the part of the task in them. A start that was sent but not seen
 * makes a task suspect; only crashes under runs that were seen, or several in
 * which nothing else can be the cause, end its job.
 */
export class CrashCounts {
  private counts = NO_CRASHES;

  /** Whether the task may be what crashed a worker. */
  get isSuspect(): boolean {
    const {beside, inDoubt} = this.counts;
    return this.possibleCrashes + inDoubt > 0 || beside >= SUSPECT_BESIDE;
  }

  /** Whether the task has crashed so many workers that it must not start. */
  get isOverLimit(): boolean {
    const {caused, causedAlone, likely, suspected} = this.counts;
    if (causedAlone > 0 && suspected > 0) return true;
    if (caused >= MAX_CAUSED || caused + likely >= MAX_LIKELY) return true;
    return this.possibleCrashes >= MAX_POSSIBLE;
  }

  /** Whether more than one worker has crashed under the task. */
  get isRepeated(): boolean {
    return this.total > 1;
  }

  /** Whether no crash is counted. */
  get isEmpty(): boolean {
    return this.total === 0;
  }

  /** Crashes of which the task may have been the cause. */
  get possibleCrashes(): number {
    const {caused, likely, suspected} = this.counts;
    return caused + likely + suspected;
  }

  /** Counts one crash. */
  add(part: CrashPart): void {
    const {role, isImmediate, hasBegun = false, isAlone = false} = part;
    const {isUnproven = isImmediate} = part;
    const isCause = role === CrashRole.CAUSE;
    const {isOnlyTask = isCause} = part;
    if (role === CrashRole.BYSTANDER) {
      this.increment('beside');
    } else if (isCause && isUnproven && hasBegun) {
      this.increment('caused');
      if (isAlone && isImmediate) this.increment('causedAlone');
    } else if (isOnlyTask && (isUnproven || (isCause && hasBegun))) {
      this.increment('likely');
    } else if (isCause && isOnlyTask && isAlone) {
      // Neither the run nor the time of the loss was seen, but nothing else was
      // sent there.
      this.increment('likely');
    } else {
      this.increment(hasBegun ? 'suspected' : 'inDoubt');
    }
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

  private increment(count: keyof StoredCrashCounts): void {
    this.counts = {...this.counts, [count]: this.counts[count] + 1};
  }

  private get total(): number {
    const {beside, inDoubt} = this.counts;
    return this.possibleCrashes + beside + inDoubt;
  }
}
