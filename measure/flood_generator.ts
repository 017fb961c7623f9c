import {SeededRandom} from '../src/random/seeded_random.js';
import {LoadFlow} from './flood_load.js';
import {FlowRecord} from './flow_record.js';
import {generatePoissonArrivals} from './poisson_arrivals.js';

/** Sends one request of a flow; resolves to true if it succeeded. */
export type FlowSender = (flow: LoadFlow, workMs: number) => Promise<boolean>;

/** Results of one phase of a measurement, with one record for each flow. */
export interface FloodPhase {
  durationMs: number;
  records: FlowRecord[];
}

/** Options of {@link FloodGenerator}. */
export interface FloodGeneratorOptions {
  /** Sends each request. */
  send: FlowSender;
  /** Mean time in ms that a target works on a request. */
  workMs: number;
  /** Requests per second that all slots can serve. */
  capacity: number;
}

/**
 * Work times vary uniformly by up to this fraction in both directions. Equal
 * work times would synchronize the slots from the start of the flood on, so
 * that all of them become free at the same time.
 */
const WORK_TIME_VARIATION = 0.5;

/** Generates the load of a set of flows. */
export class FloodGenerator {
  private readonly random = new SeededRandom(1);

  constructor(private readonly options: FloodGeneratorOptions) {}

  /**
   * Sends requests of all flows for `durationMs`; resolves when all of them
   * have ended.
   */
  async run(
    flows: readonly LoadFlow[],
    options: {durationMs: number; seed: number},
  ): Promise<FloodPhase> {
    const {durationMs, seed} = options;
    const records = flows.map((flow) => new FlowRecord(flow));
    await Promise.all(
      records.map((record, index) =>
        generatePoissonArrivals({
          random: new SeededRandom(seed * 100 + index),
          perSecond: record.flow.load * this.options.capacity,
          durationMs,
          onArrival: () => this.sendRequest(record),
        }),
      ),
    );
    return {durationMs, records};
  }

  private async sendRequest(record: FlowRecord): Promise<void> {
    const startMs = performance.now();
    record.offered += 1;
    const factor = 1 + WORK_TIME_VARIATION * (2 * this.random.next() - 1);
    const {send, workMs} = this.options;
    const isAnswered = await send(record.flow, workMs * factor);
    if (isAnswered) record.recordAnswer(performance.now() - startMs);
  }
}
