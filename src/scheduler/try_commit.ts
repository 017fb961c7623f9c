import {PlacementPolicy} from '../placement/placement_policy.js';
import {CommittedTask} from '../placement/placement_request.js';

/**
 * Commits what a worker already runs.
 *
 * @returns False if it exceeds the worker's capacity.
 */
export function tryCommit(
  placement: PlacementPolicy,
  task: CommittedTask,
): boolean {
  try {
    placement.commit(task);
    return true;
  } catch (error) {
    if (error instanceof RangeError) return false;
    throw error;
  }
}
