import {PlacementPolicy} from '../placement/placement_policy.js';
import {CommittedTask} from '../placement/placement_request.js';

/**
 * Commits the resources of a task on a worker, for example of a task that is
 * found to run there.
 *
 * @returns False if they exceed the worker's free capacity.
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
