import {randomUUID} from 'node:crypto';

import {SystemClock} from '../src/clock/system_clock.js';
import {LinkClient} from '../src/links/link_client.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {JobStatus} from '../src/scheduler/job_status.js';

/** Options of {@link SchedulerCaller}. */
export interface SchedulerCallerOptions {
  /** Link port of the scheduler on 127.0.0.1. */
  port: number;
  /** Data centre that the caller states in its link identity. */
  dataCentre: string;
}

/** Submits jobs to a scheduler over a link, as an entry does. */
export class SchedulerCaller {
  private readonly link: LinkClient;

  constructor(options: SchedulerCallerOptions) {
    this.link = new LinkClient({
      host: '127.0.0.1',
      port: options.port,
      identity: {
        member: 'caller',
        incarnation: randomUUID(),
        role: 'entry',
        dataCentre: options.dataCentre,
        token: 'link-token-for-tests',
      },
      handler: {
        onMessage: () => undefined,
        onRequest: () => Promise.reject(new Error('unexpected request')),
      },
      clock: new SystemClock(),
      random: new SeededRandom(1),
    });
  }

  /**
   * Sends a request to the scheduler; rejects if it fails or takes longer than
   * `timeoutMs`.
   */
  async call(
    name: 'submit' | 'jobStatus' | 'cancel',
    body: Record<string, unknown>,
    timeoutMs = 5000,
  ): Promise<JobStatus> {
    const message = {remainingMs: timeoutMs, ...body};
    const status = await this.link.request(name, message, timeoutMs + 200);
    return status as JobStatus;
  }

  /** Closes the link. */
  stop(): void {
    this.link.stop();
  }
}
