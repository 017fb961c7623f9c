import {SeededRandom} from '../src/random/seeded_random.js';
import {LoadFlow} from './flood_load.js';
import {FlowRecord} from './flow_record.js';
import {generatePoissonArrivals} from './poisson_arrivals.js';

/** Sends one request of a flow; resolves to true if it was answered. */
export type FlowSender = (flow: LoadFlow, workMs: number) => Promise<boolean>;

/** What happened in one part of a measurement. */
export interface FloodPhase {
  durationMs: number;
  records: FlowRecord[];
}

/** Options of {@link FloodGenerator}. */
export interface FloodGeneratorOptions {
  send: FlowSender;
  /** Usual time in ms that a target works on a request. */
  workMs: number;
  /** Requests per second that all slots can serve. */
  capacity: number;
}

/**
 * Work times vary by this part in both directions. Equal times would keep the
 * slots in step from the start of the flood on: all become free at once.
 */
const WORK_TIME_VARIATION = 0.5;

/** Produces the load of a set of flows. */
export class FloodGenerator {
  private readonly random = new SeededRandom(1);

  constructor(private readonly options: FloodGeneratorOptions) {}

  /** Sends requests of all flows for some time and waits for their ends. */
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
