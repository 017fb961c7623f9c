/** A shard that this member owns. */
export interface OwnedShard {
  shard: string;
  /** Fencing token; higher than that of every earlier owner of the shard. */
  epoch: number;
}

/** Owner of a shard. */
export interface ShardOwner {
  member: string;
  incarnation: string;
  epoch: number;
}

/**
 * Shard ownership of one role in one data centre, as known to this process. May
 * be outdated except for the result of {@link OwnershipView.confirm}.
 */
export interface OwnershipView {
  /** Shards that this process owns according to the latest known record. */
  ownedShards(): readonly OwnedShard[];
  /** Owner of a shard, if the latest known record names one. */
  ownerOf(shard: string): ShardOwner | undefined;
  /** Names of the live members, including this one. */
  liveMembers(): readonly string[];
  /**
   * Reads the record from the platform. Resolves to whether this process still
   * owns the shard with this epoch; rejects if the platform is unreachable.
   */
  confirm(owned: OwnedShard): Promise<boolean>;
  /** Calls `listener` after each change; returns a function to unsubscribe. */
  onChange(listener: () => void): () => void;
}
