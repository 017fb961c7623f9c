/** What the measure program passes to a scenario. */
export interface ScenarioOptions {
  /** Seed of all random choices. */
  seed: number;
  /** Time in seconds that the scenario may take. */
  seconds: number;
  /** Further options of the command line, for example `class`. */
  flags: Readonly<Record<string, string>>;
  /** Prints a line of progress on standard error. */
  progress(text: string): void;
}

/** Fields that a scenario prints as one JSON object. */
export interface ScenarioResult {
  /** Breaches of promises, counted by the stand-ins. */
  violations: number;
  [field: string]: unknown;
}

/** A focused measurement. */
export type Scenario = (options: ScenarioOptions) => Promise<ScenarioResult>;
