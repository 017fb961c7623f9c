/** Amounts of resources in the integer units of {@link ResourceUnits}. */
export interface ResourceAmounts {
  /** Thousandths of a processor. */
  processors: number;
  /** Thousandths of a MB. */
  memory: number;
  accelerators: number;
}
