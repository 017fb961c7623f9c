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
  /** Slowness against the peers from which a target gets less. @default 1.5 */
  reduceSlowdown?: number;
  /** Slowness from which it gets only probes. @default 2 */
  ejectSlowdown?: number;
  /** Part of failed requests from which it gets only probes. @default 0.3 */
  ejectFailureRate?: number;
  /** Time in ms between probes of an ejected target. @default 1000 */
  probeIntervalMs?: number;
  /** Time in ms in which a returning target gets all its slots. @default 3000 */
  slowStartMs?: number;
}

interface TargetState {
  wasUnavailable: boolean;
  isEjected: boolean;
  /** Until then a target that looks bad gets no work; then it is judged. */
  suspendedUntilMs: number | undefined;
  consecutiveGoodProbes: number;
  nextProbeAtMs: number;
  slowStartAtMs: number;
}

/** Targets examined per choice; more would make a choice cost too much. */
const MAX_CANDIDATES = 32;

/** Good answers in a row after which an ejected target returns. */
const REQUIRED_GOOD_PROBES = 3;

/**
 * Least time in ms for which a target that looks bad gets no work before it is
 * ejected. When the run times of all targets change, those whose results come
 * first look slow until the results of the others are there.
 */
const SUSPENSION_MS = 250;

/** Slowness below which a probe counts as good. */
const MAX_GOOD_SLOWDOWN = 1.5;

/** With fewer targets there are no peers to compare with. */
const MIN_TARGETS = 3;

/** At most one target in this many is ejected at the same time. */
const TARGETS_PER_EJECTION = 3;

/**
 * Chooses the least loaded target. A target that is much slower than its
 * peers, or fails, gets less and then no new work, is probed, and returns by a
 * slow start. One instance serves the targets of one service, because the
 * targets of other services are no peers.
 */
export class LeastLoadedRouting implements RoutingPolicy {
  readonly name = 'least loaded';
  private readonly comparison = new LatencyComparison();
  private readonly states = new Map<string, TargetState>();
  private readonly options: Required<LeastLoadedRoutingOptions>;
  private ejectedCount = 0;
  /** Targets of the last choice; others may belong to another owner now. */
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
      // The random offset also breaks ties.
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

  /** Tells whether a target gets only probes at the moment. */
  isEjected(target: string): boolean {
    return this.states.get(target)?.isEjected ?? false;
  }

  /** Forgets a target that is gone. */
  remove(target: string): void {
    const state = this.states.get(target);
    const isCounted = state?.isEjected || state?.suspendedUntilMs !== undefined;
    if (isCounted) this.ejectedCount -= 1;
    this.states.delete(target);
    this.comparison.remove(target);
  }

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
      // A target that is only full has not been away: it needs no slow start.
      state.wasUnavailable = true;
    }
    return state;
  }

  /** Load after the request relative to the slots; infinite if full. */
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

  /** Tells whether one more target may go without regular work. */
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

  /** Ejects or releases a held target once its time is over. */
  private isSuspended(
    target: string,
    state: TargetState,
    nowMs: number,
  ): boolean {
    if (state.suspendedUntilMs === undefined) return false;
    if (nowMs < state.suspendedUntilMs) return true;
    state.suspendedUntilMs = undefined;
    // A lower limit than before, or noise would end the hold too often.
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

  /** One probe at a time; urgent work is a probe only if nothing else is. */
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
    // After a good answer the next probe follows at once.
    state.nextProbeAtMs = nowMs;
    if (state.consecutiveGoodProbes < REQUIRED_GOOD_PROBES) return;
    state.isEjected = false;
    state.slowStartAtMs = nowMs;
    this.ejectedCount -= 1;
    this.comparison.remove(result.target);
  }
}
