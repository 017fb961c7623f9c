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
  reduceRatio?: number;
  /** Slowness from which it gets only probes. @default 2 */
  ejectRatio?: number;
  /** Part of failed requests from which it gets only probes. @default 0.3 */
  ejectFailures?: number;
  /** Time in ms between probes of an ejected target. @default 1000 */
  probeIntervalMs?: number;
  /** Time in ms in which a returning target gets all its slots. @default 3000 */
  slowStartMs?: number;
}

interface TargetState {
  wasAbsent: boolean;
  isEjected: boolean;
  /** Until then a target that looks bad gets no work; then it is judged. */
  heldUntilMs: number | undefined;
  goodProbes: number;
  nextProbeAtMs: number;
  returnedAtMs: number;
}

/** Targets examined per choice; more would make a choice cost too much. */
const MAX_EXAMINED = 32;

/** Good answers in a row after which an ejected target returns. */
const GOOD_PROBES = 3;

/**
 * Least time in ms for which a target that looks bad gets no work before it is
 * ejected. When the run times of all targets change, those whose results come
 * first look slow until the results of the others are there.
 */
const HOLD_MS = 250;

/** Slowness below which a probe counts as good. */
const GOOD_RATIO = 1.5;

/** With fewer targets there are no peers to compare with. */
const MIN_PEERS = 3;

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
  private currentCount = 0;

  constructor(options: LeastLoadedRoutingOptions) {
    this.options = {
      reduceRatio: 1.5,
      ejectRatio: 2,
      ejectFailures: 0.3,
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
    this.currentCount = candidates.length;
    const hasPeers = candidates.length >= MIN_PEERS;
    const count = Math.min(MAX_EXAMINED, candidates.length);
    const offset = this.options.random.nextInteger(candidates.length);
    let best: TargetLoad | undefined;
    let bestScore = Infinity;
    for (let i = 0; i < count; i++) {
      // The random offset also breaks ties.
      const load = candidates[(offset + i) % candidates.length]!;
      const state = this.stateOf(load, nowMs);
      if (!load.isAvailable || request.attempted.has(load.target)) continue;
      if (hasPeers && this.isHeld(load.target, state, nowMs)) continue;
      if (hasPeers && state.isEjected) {
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

  completed(result: RoutingResult): void {
    const nowMs = this.options.clock.nowMs();
    const state = this.states.get(result.target);
    if (state?.isEjected) {
      this.probeEnded(result, state);
      return;
    }
    this.comparison.add(result, nowMs);
    if (!state) return;
    if (state.heldUntilMs !== undefined || !this.mayEject()) return;
    if (!this.isBad(result.target, {nowMs, ratio: this.options.ejectRatio})) {
      return;
    }
    state.heldUntilMs = nowMs + HOLD_MS + result.latencyMs;
    this.ejectedCount += 1;
  }

  /** Tells whether a target gets only probes at the moment. */
  isEjected(target: string): boolean {
    return this.states.get(target)?.isEjected ?? false;
  }

  /** Forgets a target that is gone. */
  forget(target: string): void {
    const state = this.states.get(target);
    const isCounted = state?.isEjected || state?.heldUntilMs !== undefined;
    if (isCounted) this.ejectedCount -= 1;
    this.states.delete(target);
    this.comparison.forget(target);
  }

  private stateOf(load: TargetLoad, nowMs: number): TargetState {
    let state = this.states.get(load.target);
    if (!state) {
      state = {
        wasAbsent: false,
        isEjected: false,
        heldUntilMs: undefined,
        goodProbes: 0,
        nextProbeAtMs: 0,
        returnedAtMs: -Infinity,
      };
      this.states.set(load.target, state);
    }
    if (load.isAvailable && state.wasAbsent) {
      state.returnedAtMs = nowMs;
      state.wasAbsent = false;
    } else if (!load.isAvailable && load.inUse < load.slots) {
      // A target that is only full has not been away: it needs no slow start.
      state.wasAbsent = true;
    }
    return state;
  }

  /** Load after the request relative to the slots; infinite if full. */
  private score(load: TargetLoad, state: TargetState, nowMs: number): number {
    const ratio =
      this.currentCount < MIN_PEERS
        ? 1
        : this.comparison.ratio(load.target, nowMs);
    let limit = load.slots;
    if (ratio >= this.options.reduceRatio) {
      limit = Math.max(1, Math.floor(load.slots / (ratio * ratio)));
    }
    const returningMs = nowMs - state.returnedAtMs;
    if (returningMs < this.options.slowStartMs) {
      const part = returningMs / this.options.slowStartMs;
      limit = Math.min(limit, Math.max(1, Math.floor(load.slots * part)));
    }
    if (load.inUse >= limit) return Infinity;
    return ((load.inUse + 1) / load.slots) * ratio;
  }

  /** Tells whether one more target may go without regular work. */
  private mayEject(): boolean {
    const most = Math.floor(this.currentCount / TARGETS_PER_EJECTION);
    return this.currentCount >= MIN_PEERS && this.ejectedCount < most;
  }

  private isBad(
    target: string,
    {nowMs, ratio}: {nowMs: number; ratio: number},
  ): boolean {
    const {ejectFailures} = this.options;
    return (
      this.comparison.ratio(target, nowMs) >= ratio ||
      this.comparison.failureFraction(target) >= ejectFailures
    );
  }

  /** Ejects or releases a held target once its time is over. */
  private isHeld(target: string, state: TargetState, nowMs: number): boolean {
    if (state.heldUntilMs === undefined) return false;
    if (nowMs < state.heldUntilMs) return true;
    state.heldUntilMs = undefined;
    // A lower limit than before, or noise would end the hold too often.
    if (!this.isBad(target, {nowMs, ratio: this.options.reduceRatio})) {
      this.ejectedCount -= 1;
      return false;
    }
    state.isEjected = true;
    state.goodProbes = 0;
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
    const patienceMs = urgency === Urgency.URGENT ? probeIntervalMs : 0;
    return (
      load.inUse === 0 && clock.nowMs() >= state.nextProbeAtMs + patienceMs
    );
  }

  private probe(load: TargetLoad, state: TargetState): RoutingChoice {
    const {clock, probeIntervalMs} = this.options;
    state.nextProbeAtMs = clock.nowMs() + probeIntervalMs;
    return {target: load.target, reason: 'probe of an ejected target'};
  }

  private probeEnded(result: RoutingResult, state: TargetState): void {
    const nowMs = this.options.clock.nowMs();
    const ratio = this.comparison.resultRatio(result, nowMs);
    const isGood = result.succeeded && ratio < GOOD_RATIO;
    state.goodProbes = isGood ? state.goodProbes + 1 : 0;
    if (!isGood) return;
    // After a good answer the next probe follows at once.
    state.nextProbeAtMs = nowMs;
    if (state.goodProbes < GOOD_PROBES) return;
    state.isEjected = false;
    state.returnedAtMs = nowMs;
    this.ejectedCount -= 1;
    this.comparison.forget(result.target);
  }
}
