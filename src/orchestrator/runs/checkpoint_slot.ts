/** Holder of the latest checkpoint of a task, or of all members of a gang. */
export class CheckpointSlot {
  /** Latest checkpoint to resume from; empty if none. */
  value = '';
}
