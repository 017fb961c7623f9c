import {build} from 'hdr-histogram-js';

import {Urgency} from '../src/contracts/urgency.js';
import {FloodGenerator, FloodPhase} from './flood_generator.js';
import {
  fairShares,
  FLOOD_LOAD,
  FLOODER,
  floodContracts,
  LoadFlow,
  ordinaryFlows,
} from './flood_load.js';
import {FlowRecord} from './flow_record.js';

/** Metrics of how other callers fared while one caller flooded the system. */
export interface FloodMetrics {
  /**
   * Smallest fraction that a flow kept of its baseline rate, or of the floor in
   * its contract if that is lower.
   */
  othersKeptFraction: number;
  /** Fraction of the baseline rate that all other flows together kept. */
  othersKeptOfBefore: number;
  /** 99th percentile latency of urgent requests of others before the flood. */
  urgentP99BeforeMs: number;
  /** 99th percentile latency of urgent requests of others during the flood. */
  urgentP99DuringMs: number;
  urgentP99Ratio: number;
  /**
   * Smallest ratio of answered requests to the max-min fair share among the
   * callers of the flooding customer, in the flooded urgency.
   */
  callerFairness: number;
  floodAnsweredPerSecond: number;
}

/** Options of {@link measureFlood}. */
export interface MeasureFloodOptions {
  /** Sends the load. */
  generator: FloodGenerator;
  /** Requests per second that all slots can serve. */
  capacity: number;
  /** Urgency of the flooding requests. */
  urgency: Urgency;
  seed: number;
  /** Total time in ms of both phases. */
  durationMs: number;
}

interface FloodPhases {
  before: FloodPhase;
  during: FloodPhase;
}

/** Fraction of the time that is measured before the flood. */
const BASELINE_FRACTION = 0.4;

const WARM_UP_MS = 500;

const CONTRACTS = floodContracts();

/** Runs the ordinary load, then the same load together with the flood. */
export async function measureFlood(
  options: MeasureFloodOptions,
): Promise<FloodMetrics> {
  const {generator, capacity, urgency, seed, durationMs} = options;
  const ordinary = ordinaryFlows();
  const beforeMs = durationMs * BASELINE_FRACTION;
  // Opens the connections; not part of the metrics.
  await generator.run(ordinary, {durationMs: WARM_UP_MS, seed: seed + 2});
  const before = await generator.run(ordinary, {durationMs: beforeMs, seed});
  const flows = [...ordinary, {...FLOODER, urgency, load: FLOOD_LOAD}];
  const during = await generator.run(flows, {
    durationMs: durationMs - beforeMs,
    seed: seed + 1,
  });
  const flood = during.records.find((record) => isFlooder(record.flow))!;
  const urgentP99BeforeMs = urgentP99Ms(before);
  const urgentP99DuringMs = urgentP99Ms(during);
  return {
    othersKeptFraction: minKeptFraction({before, during}, capacity),
    othersKeptOfBefore: totalKeptFraction({before, during}),
    urgentP99BeforeMs,
    urgentP99DuringMs,
    urgentP99Ratio: urgentP99DuringMs / urgentP99BeforeMs,
    callerFairness: minCallerFairness(during, urgency),
    floodAnsweredPerSecond: answeredPerSecond(flood, during),
  };
}

function isFlooder(flow: LoadFlow): boolean {
  return flow.caller === FLOODER.caller;
}

function answeredPerSecond(record: FlowRecord, phase: FloodPhase): number {
  return (record.answered / phase.durationMs) * 1000;
}

/**
 * Returns the smallest fraction that a flow kept of its baseline rate, or of
 * the floor in its contract if that is lower. The baseline is scaled by the
 * offered load of both phases, because random arrivals differ between them.
 */
function minKeptFraction(phases: FloodPhases, capacity: number): number {
  const {before, during} = phases;
  const keptFractions = during.records
    .filter((record) => !isFlooder(record.flow))
    .map((record, index) => {
      const {customer, urgency, load} = record.flow;
      const sameClass = before.records
        .map((other) => other.flow)
        .filter((f) => f.customer === customer && f.urgency === urgency);
      const fractionOfClass =
        load / sameClass.reduce((sum, f) => sum + f.load, 0);
      const {floor} = CONTRACTS.get(customer)!.urgencies[urgency];
      const baseline = before.records[index]!;
      const baselineRate =
        (baseline.answered / baseline.offered) *
        offeredPerSecond(record, during);
      const expectedRate = Math.min(
        baselineRate,
        floor * capacity * fractionOfClass,
      );
      return answeredPerSecond(record, during) / expectedRate;
    });
  return Math.min(...keptFractions);
}

function offeredPerSecond(record: FlowRecord, phase: FloodPhase): number {
  return (record.offered / phase.durationMs) * 1000;
}

function totalKeptFraction({before, during}: FloodPhases): number {
  const answeredFraction = (phase: FloodPhase): number => {
    const others = phase.records.filter((r) => !isFlooder(r.flow));
    const answered = others.reduce((sum, r) => sum + r.answered, 0);
    return answered / others.reduce((sum, r) => sum + r.offered, 0);
  };
  return answeredFraction(during) / answeredFraction(before);
}

function urgentP99Ms(phase: FloodPhase): number {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const {flow, latencyMicroseconds} of phase.records) {
    if (flow.urgency !== 'urgent' || isFlooder(flow)) continue;
    histogram.add(latencyMicroseconds);
  }
  return histogram.getValueAtPercentile(99) / 1000;
}

/**
 * Returns the smallest ratio of answered requests to the max-min fair share
 * among the flooding caller and the other callers of its customer.
 */
function minCallerFairness(during: FloodPhase, urgency: Urgency): number {
  const group = during.records.filter(
    ({flow}) => flow.customer === FLOODER.customer && flow.urgency === urgency,
  );
  const demands = group.map((record) => record.offered);
  const total = group.reduce((sum, record) => sum + record.answered, 0);
  const shares = fairShares(demands, total);
  return Math.min(...group.map((record, i) => record.answered / shares[i]!));
}
