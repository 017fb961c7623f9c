/** One configuration key as the platform stored or deleted it. */
export interface ConfigurationEntry {
  key: string;
  /** JSON text; undefined if the key was deleted at `revision`. */
  value: string | undefined;
  /** Platform revision of the change. */
  revision: number;
}

/** Changes sent to a store by the platform or by another store. */
export interface ConfigurationDelta {
  /**
   * The delta contains every change with a revision above `sinceRevision` and
   * up to `completeRevision`, except changes that a later one replaced.
   */
  sinceRevision: number;
  completeRevision: number;
  entries: ConfigurationEntry[];
  /** True if `entries` is the full list: keys missing from it do not exist. */
  isSnapshot: boolean;
  /**
   * Time in ms since the platform confirmed this state; undefined if it never
   * did.
   */
  ageMs?: number;
}
