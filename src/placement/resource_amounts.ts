/** Amounts of resources in the integer units of {@link ResourceUnits}. */
export interface ResourceAmounts {
  processors: number;
  memory: number;
  accelerators: number;
}
