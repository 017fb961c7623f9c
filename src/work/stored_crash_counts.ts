/** Numbers of worker crashes under a task, by its part in them. */
export interface StoredCrashCounts {
  /** Crashes of which it was the only likely cause. */
  caused: number;
  /** Crashes of which it was one of several possible causes. */
  suspected: number;
  /** Crashes with a more likely cause on the same worker. */
  beside: number;
  /** Crashes, as cause or suspect, immediately after a start of the task. */
  immediate: number;
}
