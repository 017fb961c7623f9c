import {TargetLoad} from './routing_policy.js';

/**
 * Returns the targets that can accept a request now: those that are available,
 * have a free slot, and were not already attempted by the request.
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
