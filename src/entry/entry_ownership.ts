import {OwnershipView} from '../ownership/ownership_view.js';

/** Ownership as the entry program uses it. */
export interface EntryOwnership extends OwnershipView {
  /** Reads the record at once, after a target refused an epoch. */
  noteFenced(): Promise<void>;
  /** Hands all shards over; true if the record without them was written. */
  handOver(): Promise<boolean>;
}
