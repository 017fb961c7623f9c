/** Resource amounts that a worker offers or a task requires. */
export interface Resources {
  /** Processor cores; may be fractional. */
  processors: number;
  /** Memory in MB. */
  memoryMegabytes: number;
  /** Number of accelerators; an integer. */
  accelerators: number;
}
