import {RandomSource} from '../random/random_source.js';
import {Urgency} from '../contracts/urgency.js';
import {RoutingChoice, RoutingPolicy, TargetLoad} from './routing_policy.js';
import {usableTargets} from './usable_targets.js';

/** Baseline that chooses the less loaded of two targets drawn at random. */
export class PowerOfTwoChoicesRouting implements RoutingPolicy {
  readonly name = 'two choices';

  constructor(private readonly random: RandomSource) {}

  choose(
    candidates: readonly TargetLoad[],
    request: {urgency: Urgency; attempted: ReadonlySet<string>},
  ): RoutingChoice | undefined {
    const usable = usableTargets(candidates, request.attempted);
    const first = usable[this.random.nextInteger(usable.length)];
    const second = usable[this.random.nextInteger(usable.length)];
    if (!first || !second) return undefined;
    const chosen =
      first.inUse / first.slots <= second.inUse / second.slots ? first : second;
    return {target: chosen.target, reason: 'less loaded of two'};
  }

  recordResult(): void {
    // The choice depends only on the current load.
  }
}
