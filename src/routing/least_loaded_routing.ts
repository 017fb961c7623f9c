import {Clock} from '../clock/clock.js';
import {Urgency} from '../contracts/urgency.js';
import {RandomSource} from '../random/random_source.js';
import {LatencyComparison} from './latency_comparison.js';
import {
  RoutingChoice,
  RoutingPolicy,
  RoutingResult,
  TargetLoad,
} from './routing_policy.js';

/** Options of {@link LeastLoadedRouting}. */
export interface LeastLoadedRoutingOptions {
  clock: Clock;
  random: RandomSource;
  /**
   * Slowdown relative to the peers from which a target gets fewer requests.
   * @default 1.5
   */
  reduceSlowdown?: number;
  /** Slowdown from which a target is ejected. @default 2 */
  ejectSlowdown?: number;
  /**
   * Fraction of failed requests from which a target is ejected.
   * @default 0.3
   */
  ejectFailureRate?: number;
  /** Time in ms between probes of an ejected target. @default 1000 */
  probeIntervalMs?: number;
  /**
   * Time in ms over which a returning target regains all slots.
   * @default 3000
   */
  slowStartMs?: number;
}

interface TargetState {
  /** True if the target had free slots but was not available. */
  wasUnavailable: boolean;
  /** True while the target gets only probes. */
  isEjected: boolean;
  /**
   * Monotonic time in ms until which a suspected outlier gets no requests; it
   * is then ejected or released.
   */
  suspendedUntilMs: number | undefined;
  consecutiveGoodProbes: number;
  nextProbeAtMs: number;
  /** Monotonic time in ms at which the latest slow start began. */
  slowStartAtMs: number;
}

/** Targets examined per choice, to bound the cost of a choice. */
const MAX_CANDIDATES = 32;

/** Consecutive good probes after which an ejected target returns. */
const REQUIRED_GOOD_PROBES = 3;

/**
 * Minimum time in ms for which a suspected outlier is suspended before it is
 * ejected. When the run times of all targets change, those whose results arrive
 * first look slow until the results of the others have arrived.
 */
const SUSPENSION_MS = 250;

/** Slowdown below which a probe counts as good. */
const MAX_GOOD_SLOWDOWN = 1.5;

/** Number of targets below which targets are not compared with each other. */
const MIN_TARGETS = 3;

/** At most one in this many targets is suspended or ejected at a time. */
const TARGETS_PER_EJECTION = 3;

/**
 * Chooses the least loaded target, with outlier ejection. A target that is
 * slower than its peers gets fewer requests. One that is much slower, or that
 * fails often, gets no requests except probes, and returns with a slow start
 * after several good probes. One instance handles the targets of one service,
 * because latencies of different services are not comparable.
 */
export class LeastLoadedRouting implements RoutingPolicy {
  readonly name = 'least loaded';
  private readonly comparison = new LatencyComparison();
  private readonly states = new Map<string, TargetState>();
  private readonly options: Required<LeastLoadedRoutingOptions>;
  private ejectedCount = 0;
  /** Candidates of the latest choice; other targets may have changed owner. */
  private targetCount = 0;

  constructor(options: LeastLoadedRoutingOptions) {
    this.options = {
      reduceSlowdown: 1.5,
      ejectSlowdown: 2,
      ejectFailureRate: 0.3,
      probeIntervalMs: 1000,
      slowStartMs: 3000,
      ...options,
    };
  }

  choose(
    candidates: readonly TargetLoad[],
    request: {urgency: Urgency; attempted: ReadonlySet<string>},
  ): RoutingChoice | undefined {
    const nowMs = this.options.clock.nowMs();
    this.targetCount = candidates.length;
    const isComparable = candidates.length >= MIN_TARGETS;
    const count = Math.min(MAX_CANDIDATES, candidates.length);
    const offset = this.options.random.nextInteger(candidates.length);
    let best: TargetLoad | undefined;
    let bestScore = Infinity;
    for (let i = 0; i < count; i++) {
      // The random offset also breaks ties between equal scores.
      const load = candidates[(offset + i) % candidates.length]!;
      const state = this.updateState(load, nowMs);
      if (!load.isAvailable || request.attempted.has(load.target)) continue;
      if (isComparable && this.isSuspended(load.target, state, nowMs)) continue;
      if (isComparable && state.isEjected) {
        if (this.isProbeDue(load, state, request.urgency)) {
          return this.probe(load, state);
        }
        continue;
      }
      const score = this.score(load, state, nowMs);
      if (score < bestScore) {
        best = load;
        bestScore = score;
      }
    }
    return best && {target: best.target, reason: 'least loaded'};
  }

  recordResult(result: RoutingResult): void {
    const nowMs = this.options.clock.nowMs();
    const state = this.states.get(result.target);
    if (state?.isEjected) {
      this.recordProbeResult(result, state);
      return;
    }
    this.comparison.record(result, nowMs);
    if (!state) return;
    if (state.suspendedUntilMs !== undefined || !this.mayEject()) return;
    if (
      !this.isOutlier(result.target, {
        nowMs,
        minSlowdown: this.options.ejectSlowdown,
      })
    ) {
      return;
    }
    state.suspendedUntilMs = nowMs + SUSPENSION_MS + result.latencyMs;
    this.ejectedCount += 1;
  }

  /** Returns whether a target is ejected, that is, gets only probes. */
  isEjected(target: string): boolean {
    return this.states.get(target)?.isEjected ?? false;
  }

  /** Removes the state of a target that no longer exists. */
  remove(target: string): void {
    const state = this.states.get(target);
    const isCounted = state?.isEjected || state?.suspendedUntilMs !== undefined;
    if (isCounted) this.ejectedCount -= 1;
    this.states.delete(target);
    this.comparison.remove(target);
  }

  /** Returns the state of a target after applying its availability. */
  private updateState(load: TargetLoad, nowMs: number): TargetState {
    let state = this.states.get(load.target);
    if (!state) {
      state = {
        wasUnavailable: false,
        isEjected: false,
        suspendedUntilMs: undefined,
        consecutiveGoodProbes: 0,
        nextProbeAtMs: 0,
        slowStartAtMs: -Infinity,
      };
      this.states.set(load.target, state);
    }
    if (load.isAvailable && state.wasUnavailable) {
      state.slowStartAtMs = nowMs;
      state.wasUnavailable = false;
    } else if (!load.isAvailable && load.inUse < load.slots) {
      // A target that is merely full needs no slow start afterwards.
      state.wasUnavailable = true;
    }
    return state;
  }

  /** Load with one more request, weighted by slowdown; infinite if full. */
  private score(load: TargetLoad, state: TargetState, nowMs: number): number {
    const slowdown =
      this.targetCount < MIN_TARGETS
        ? 1
        : this.comparison.slowdown(load.target, nowMs);
    let limit = load.slots;
    if (slowdown >= this.options.reduceSlowdown) {
      limit = Math.max(1, Math.floor(load.slots / (slowdown * slowdown)));
    }
    const elapsedMs = nowMs - state.slowStartAtMs;
    if (elapsedMs < this.options.slowStartMs) {
      const fraction = elapsedMs / this.options.slowStartMs;
      limit = Math.min(limit, Math.max(1, Math.floor(load.slots * fraction)));
    }
    if (load.inUse >= limit) return Infinity;
    return ((load.inUse + 1) / load.slots) * slowdown;
  }

  /** Returns whether one more target may be suspended. */
  private mayEject(): boolean {
    const maxEjected = Math.floor(this.targetCount / TARGETS_PER_EJECTION);
    return this.targetCount >= MIN_TARGETS && this.ejectedCount < maxEjected;
  }

  private isOutlier(
    target: string,
    {nowMs, minSlowdown}: {nowMs: number; minSlowdown: number},
  ): boolean {
    const {ejectFailureRate} = this.options;
    return (
      this.comparison.slowdown(target, nowMs) >= minSlowdown ||
      this.comparison.failureRate(target) >= ejectFailureRate
    );
  }

  /**
   * Returns whether a target is suspended. Once its suspension is over, ejects
   * or releases it.
   */
  private isSuspended(
    target: string,
    state: TargetState,
    nowMs: number,
  ): boolean {
    if (state.suspendedUntilMs === undefined) return false;
    if (nowMs < state.suspendedUntilMs) return true;
    state.suspendedUntilMs = undefined;
    // Uses a lower threshold than for suspending; with the same one, noise
    // would release too many slow targets.
    if (
      !this.isOutlier(target, {nowMs, minSlowdown: this.options.reduceSlowdown})
    ) {
      this.ejectedCount -= 1;
      return false;
    }
    state.isEjected = true;
    state.consecutiveGoodProbes = 0;
    state.nextProbeAtMs = nowMs + this.options.probeIntervalMs;
    return false;
  }

  /**
   * Returns whether this request may probe an ejected target. Probes run one at
   * a time; an urgent request is used only if no other one came in time.
   */
  private isProbeDue(
    load: TargetLoad,
    state: TargetState,
    urgency: Urgency,
  ): boolean {
    const {clock, probeIntervalMs} = this.options;
    const extraWaitMs = urgency === Urgency.URGENT ? probeIntervalMs : 0;
    return (
      load.inUse === 0 && clock.nowMs() >= state.nextProbeAtMs + extraWaitMs
    );
  }

  private probe(load: TargetLoad, state: TargetState): RoutingChoice {
    const {clock, probeIntervalMs} = this.options;
    state.nextProbeAtMs = clock.nowMs() + probeIntervalMs;
    return {target: load.target, reason: 'probe of an ejected target'};
  }

  private recordProbeResult(result: RoutingResult, state: TargetState): void {
    const nowMs = this.options.clock.nowMs();
    const slowdown = this.comparison.slowdownOfResult(result, nowMs);
    const isGood = result.succeeded && slowdown < MAX_GOOD_SLOWDOWN;
    state.consecutiveGoodProbes = isGood ? state.consecutiveGoodProbes + 1 : 0;
    if (!isGood) return;
    // After a good probe, the next one may follow immediately.
    state.nextProbeAtMs = nowMs;
    if (state.consecutiveGoodProbes < REQUIRED_GOOD_PROBES) return;
    state.isEjected = false;
    state.slowStartAtMs = nowMs;
    this.ejectedCount -= 1;
    this.comparison.remove(result.target);
  }
}
