/** Amounts in the whole units of {@link ResourceUnits}. */
export interface ResourceAmounts {
  processors: number;
  memory: number;
  accelerators: number;
}
