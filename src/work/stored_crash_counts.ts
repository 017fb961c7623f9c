/** Numbers of worker crashes under a task, by its part in them. */
export interface StoredCrashCounts {
  /**
   * Crashes immediately after a start that was seen, with the task as the only
   * possible cause.
   */
  caused: number;
  /** Of these, crashes of a worker on which nothing else ran. */
  causedAlone: number;
  /**
   * Other crashes with the task as the only likely cause: long after its start,
   * or after a start that nobody has seen.
   */
  likely: number;
  /** Crashes of which it was one of several possible causes. */
  suspected: number;
  /** Crashes with a more likely cause on the same worker. */
  beside: number;
  /**
   * Crashes of a worker to which a start had been sent that nobody has seen; at
   * most the order was there.
   */
  inDoubt: number;
}

/** Counts in records of builds up to 47249dc. */
export interface EarlierCrashCounts {
  /** Crashes as the only likely cause, also after starts in doubt. */
  caused: number;
  suspected: number;
  beside: number;
  immediate: number;
}

/** Returns the counts of a record of this or an earlier build. */
export function toCrashCounts(
  record: StoredCrashCounts | EarlierCrashCounts,
): StoredCrashCounts {
  if ('causedAlone' in record) return record;
  const {caused, suspected, beside} = record;
  return {
    caused: 0,
    causedAlone: 0,
    likely: caused,
    suspected,
    beside,
    inDoubt: 0,
  };
}
