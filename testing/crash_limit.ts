/** Crashes of workers under one task after which its starts are limited. */
const CRASH_LIMIT = 3;

/** Starts after that limit which break the promise of the users' pages. */
const STARTS_OVER_LIMIT = 3;

/** Counts the starts of crashing tasks after too many crashes. */
export class CrashLimit {
  private readonly starts = new Map<string, number>();

  /**
   * Records a start of a task and returns whether it breaks the promise.
   *
   * @param crashes - Number of workers that have crashed under the task.
   */
  isExceededBy(task: string, crashes: number): boolean {
    if (crashes < CRASH_LIMIT) return false;
    const starts = (this.starts.get(task) ?? 0) + 1;
    this.starts.set(task, starts);
    return starts >= STARTS_OVER_LIMIT;
  }
}
