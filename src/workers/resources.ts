/** Amounts of what a worker offers or a task needs. */
export interface Resources {
  /** Processor cores; fractions are allowed. */
  processors: number;
  /** Memory in MB. */
  memoryMegabytes: number;
  /** Whole accelerators. */
  accelerators: number;
}
