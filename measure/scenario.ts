/** Options that the measure program passes to a scenario. */
export interface ScenarioOptions {
  /** Seed of all random choices. */
  seed: number;
  /** Time in seconds that the scenario may take. */
  seconds: number;
  /** All command-line options by name, for example `class`. */
  flags: Readonly<Record<string, string>>;
  /** Prints a progress line to standard error. */
  progress(text: string): void;
}

/** Result of a scenario, printed as one JSON object. */
export interface ScenarioResult {
  /** Number of violated guarantees, as counted by the simulated components. */
  violations: number;
  [field: string]: unknown;
}

/** Measurement of one aspect of the system. */
export type Scenario = (options: ScenarioOptions) => Promise<ScenarioResult>;
