/** Amounts in the whole units of {@link ResourceUnits}. */
export interface FreeUnits {
  processors: number;
  memory: number;
  accelerators: number;
}
