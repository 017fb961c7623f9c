/** State that a member sends to its peers at each heartbeat interval. */
export interface Heartbeat {
  member: string;
  /** Unique ID of this start of the process. */
  incarnation: string;
  /** Increases with each heartbeat of the same incarnation. */
  sequence: number;
  /**
   * Time in ms since the sender last received a heartbeat directly from a peer,
   * for overdue peers only. While all members are healthy the record is empty,
   * so that the heartbeat size does not grow with the number of members.
   */
  missedAgesMs: Record<string, number>;
  /** Time in ms since the sender started. */
  upMs: number;
  /** True once the sender has begun to shut down. */
  isLeaving: boolean;
  /** Platform revision of the latest ownership record known to the sender. */
  ownershipRevision: number;
  /** Highest configuration revision that is in effect at the sender. */
  configurationRevision: number;
  /** Load summary; its type depends on the role of the sender. */
  load: unknown;
}
