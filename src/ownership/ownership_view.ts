/** A shard that a member owns. */
export interface OwnedShard {
  shard: string;
  /** Fencing token of this ownership; higher than that of all earlier ones. */
  epoch: number;
}

/** Who owns a shard. */
export interface ShardOwner {
  member: string;
  incarnation: string;
  epoch: number;
}

/** What a process knows of the ownership of its role in its data centre. */
export interface OwnershipView {
  /** Shards that this process owns now. */
  ownedShards(): readonly OwnedShard[];
  /** Owner of a shard as far as known here. */
  ownerOf(shard: string): ShardOwner | undefined;
  /** Members that are alive as far as known here, this one included. */
  livingMembers(): readonly string[];
  /**
   * Reads the platform's record and tells whether this process still owns the
   * shard with this epoch. Rejects if the platform can't be reached.
   */
  confirm(owned: OwnedShard): Promise<boolean>;
  /** Calls `listener` after each change; returns a function that ends this. */
  onChange(listener: () => void): () => void;
}
