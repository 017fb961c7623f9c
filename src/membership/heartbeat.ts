/** What a member tells its peers at each interval. */
export interface Heartbeat {
  member: string;
  /** Differs for each start of the process. */
  incarnation: string;
  /** Increases with each heartbeat of an incarnation. */
  sequence: number;
  /**
   * Time in ms since the sender heard each peer directly, only for peers that
   * it misses. A healthy data centre sends an empty record, so that the size
   * of a heartbeat does not grow with the number of members.
   */
  missedAgesMs: Record<string, number>;
  /** Time in ms since the sender started. */
  upMs: number;
  /** True once the sender is shutting down. */
  isLeaving: boolean;
  /** Platform revision of the ownership record that the sender knows. */
  ownershipRevision: number;
  /** Highest configuration revision that is in effect at the sender. */
  configurationRevision: number;
  /** Load summary; its shape depends on the role. */
  load: unknown;
}
