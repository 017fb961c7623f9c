/** One configuration key as the platform stored or deleted it. */
export interface ConfigurationEntry {
  key: string;
  /** JSON text; undefined if the key was deleted at `revision`. */
  value: string | undefined;
  /** Platform revision of the change. */
  revision: number;
}

/** Changes that one store, or the platform, passes to another store. */
export interface ConfigurationDelta {
  /**
   * Every change with a revision above `sinceRevision` and up to
   * `completeRevision` is contained, unless a later change replaced it.
   */
  sinceRevision: number;
  completeRevision: number;
  entries: ConfigurationEntry[];
  /** True if keys that are missing in `entries` do not exist. */
  isSnapshot: boolean;
  /**
   * Time in ms since the platform confirmed this state; undefined if it never
   * did.
   */
  ageMs?: number;
}
