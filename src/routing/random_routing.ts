import {RandomSource} from '../random/random_source.js';
import {Urgency} from '../contracts/urgency.js';
import {RoutingChoice, RoutingPolicy, TargetLoad} from './routing_policy.js';
import {usableTargets} from './usable_targets.js';

/** Baseline that chooses uniformly among the targets with a free slot. */
export class RandomRouting implements RoutingPolicy {
  readonly name = 'random';

  constructor(private readonly random: RandomSource) {}

  choose(
    candidates: readonly TargetLoad[],
    request: {urgency: Urgency; attempted: ReadonlySet<string>},
  ): RoutingChoice | undefined {
    const usable = usableTargets(candidates, request.attempted);
    const chosen = usable[this.random.nextInteger(usable.length)];
    return chosen && {target: chosen.target, reason: 'random'};
  }

  recordResult(): void {
    // Random choice does not depend on results.
  }
}
