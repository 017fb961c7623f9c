import {PendingCommit} from '../src/orchestrator/orchestrator_effects.js';

/** Acts as if all batches of a commit were stored. */
export function applyPending(pending: PendingCommit): void {
  for (const {onStored} of pending.batches) onStored();
  pending.onStored();
}
