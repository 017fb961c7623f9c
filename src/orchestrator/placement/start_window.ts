import {AdaptiveStartLimit} from './adaptive_start_limit.js';
import {TaskState} from '../runs/task_state.js';

/**
 * Most starts that may be open: assigned to a worker and not answered by it. An
 * owner that is behind needs less than a second for them, so that a later and
 * more urgent start does not wait for longer.
 */
const MAX_OPEN_STARTS = 400;

/** Part of the window that only jobs of the most urgent queues may use. */
const URGENT_SHARE = 0.25;

/** Least number of open starts for work that is not urgent. */
const LEAST_OPEN_STARTS = 60;

/**
 * Limits the starts that are open at a time. What the owner cannot serve waits
 * as a task without a worker, where it costs nothing and the order of jobs still
 * decides, in place of a queue of commands.
 */
export class StartWindow {
  private readonly open = new Set<TaskState>();
  private readonly adaptive: AdaptiveStartLimit | undefined;

  /**
   * @param isAdaptive - Whether fewer starts that are not urgent are open while
   *     answers are late. @default false
   */
  constructor(isAdaptive = false) {
    if (!isAdaptive) return;
    const greatest = MAX_OPEN_STARTS * (1 - URGENT_SHARE);
    const range = {least: LEAST_OPEN_STARTS, greatest};
    this.adaptive = new AdaptiveStartLimit(range);
  }

  /**
   * Records the answer to a start.
   *
   * @param tookMs - Time in ms since it was sent.
   */
  recordAnswer(tookMs: number, nowMs: number): void {
    this.adaptive?.recordAnswer(tookMs, nowMs);
  }

  /** Records that a task was assigned to a worker. */
  add(task: TaskState): void {
    this.open.add(task);
  }

  /** Returns the number of starts that are open. */
  countOpen(): number {
    for (const task of this.open) if (!isOpen(task)) this.open.delete(task);
    return this.open.size;
  }

  /**
   * Returns how many tasks may be assigned now.
   *
   * @param options.isUrgent - Whether their queue is one of the most urgent.
   */
  countFree({isUrgent}: {isUrgent: boolean}): number {
    const otherLimit =
      this.adaptive?.limit ?? MAX_OPEN_STARTS * (1 - URGENT_SHARE);
    const limit = isUrgent ? MAX_OPEN_STARTS : otherLimit;
    return Math.max(0, limit - this.countOpen());
  }
}

function isOpen({state}: TaskState): boolean {
  return state === 'assigned' || state === 'starting';
}
