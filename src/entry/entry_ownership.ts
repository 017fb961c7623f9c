import {OwnershipView} from '../ownership/ownership_view.js';

/** Ownership of shards, as used by the entry program. */
export interface EntryOwnership extends OwnershipView {
  /**
   * Reloads the ownership record, after a target refused an epoch.
   */
  reloadAfterFencing(): Promise<void>;
  /**
   * Hands over all shards; returns true if the ownership record without them
   * was written.
   */
  handOver(): Promise<boolean>;
}
