import {TargetLoad} from './routing_policy.js';

/**
 * Returns the targets that can take a request now: available, with a free
 * slot, and not attempted before by the same request.
 */
export function usableTargets(
  candidates: readonly TargetLoad[],
  attempted: ReadonlySet<string>,
): TargetLoad[] {
  return candidates.filter(
    (load) =>
      load.isAvailable &&
      load.inUse < load.slots &&
      !attempted.has(load.target),
  );
}
