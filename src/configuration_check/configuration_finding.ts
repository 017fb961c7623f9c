/** How much a finding about a configuration matters. */
export const FindingLevel = {
  /** The configuration must not be sent. */
  ERROR: 'error',
  /** Part of it has no effect, or limits contradict each other. */
  WARNING: 'warning',
  /** What would change. */
  CHANGE: 'change',
} as const;

/** One of the values of {@link FindingLevel}. */
export type FindingLevel = (typeof FindingLevel)[keyof typeof FindingLevel];

/** One finding about a configuration. */
export interface ConfigurationFinding {
  level: FindingLevel;
  /** Entry that it is about, for example `queue previews`. */
  place: string;
  text: string;
}
