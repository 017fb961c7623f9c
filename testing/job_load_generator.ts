import {sleep} from '../src/clock/sleep.js';
import {RandomSource} from '../src/random/random_source.js';
import {ResultCodes} from '../src/result_codes/result_code.js';
import {ResultError} from '../src/result_codes/result_error.js';
import {JobStatus} from '../src/scheduler/job_status.js';
import {SchedulerCaller} from './scheduler_caller.js';

/** Options of {@link JobLoadGenerator}. */
export interface JobLoadGeneratorOptions {
  /** Clients of the schedulers, used round-robin. */
  callers: readonly SchedulerCaller[];
  random: RandomSource;
  /** Time in ms between two submissions. */
  intervalMs: number;
}

const CALL_TIMEOUT_MS = 1500;

/**
 * Submits jobs at a fixed interval, retries failed submissions, and polls the
 * accepted jobs until they have ended.
 */
export class JobLoadGenerator {
  /** Ids of the jobs whose submission was confirmed. */
  readonly accepted = new Set<string>();
  /** Ids of the jobs whose latest answered status query returned NOT_FOUND. */
  readonly lost = new Set<string>();
  private readonly pendingSubmissions: Array<Promise<void>> = [];
  private nextCallerIndex = 0;
  private intervalMs: number;
  private isStopped = false;

  constructor(private readonly options: JobLoadGeneratorOptions) {
    this.intervalMs = options.intervalMs;
  }

  /** Changes the time in ms between two submissions. */
  setSubmissionInterval(intervalMs: number): void {
    this.intervalMs = intervalMs;
  }

  /** Submits jobs until {@link stop} is called. */
  async run(): Promise<void> {
    for (let count = 0; !this.isStopped; count++) {
      this.pendingSubmissions.push(this.submit(`job-${count}`));
      await sleep(this.intervalMs);
    }
  }

  /** Stops submitting and waits until pending jobs are accepted or given up. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.pendingSubmissions);
  }

  /** Waits until all accepted jobs have ended; returns the ids of the others. */
  async waitUntilEnded(timeoutMs: number): Promise<string[]> {
    const deadlineMs = performance.now() + timeoutMs;
    let unfinished = [...this.accepted];
    while (unfinished.length > 0 && performance.now() < deadlineMs) {
      const states = await Promise.all(
        unfinished.map((id) => this.fetchState(id)),
      );
      unfinished = unfinished.filter((_, index) => states[index] !== 'ended');
      if (unfinished.length > 0) await sleep(200);
    }
    return unfinished;
  }

  /** Sends a request to the next scheduler in rotation. */
  call(
    name: 'submit' | 'jobStatus',
    body: Record<string, unknown>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<JobStatus> {
    const {callers} = this.options;
    const caller = callers[this.nextCallerIndex++ % callers.length]!;
    return caller.call(name, body, timeoutMs);
  }

  private async submit(id: string): Promise<void> {
    const {random} = this.options;
    const isUrgent = random.next() < 0.15;
    const actualRunTimeMs = 200 + random.nextInteger(1800);
    const job = {
      id,
      customer: `customer-${random.nextInteger(3)}`,
      kind: isUrgent ? 'preview' : 'render',
      urgency: isUrgent ? 'urgent' : 'batch',
      resources: {
        processors: 1 + random.nextInteger(isUrgent ? 3 : 4),
        memoryMegabytes: 500,
      },
      // Declared run times are inaccurate: 0.3 to 2.3 times the actual ones.
      runTimeMs: actualRunTimeMs * (0.3 + 2 * random.next()),
      payload: {actualRunTimeMs},
    };
    const deadlineMs = performance.now() + 25_000;
    while (performance.now() < deadlineMs) {
      try {
        await this.call('submit', {job});
        this.accepted.add(id);
        return;
      } catch {
        await sleep(100);
      }
    }
  }

  private async fetchState(jobId: string): Promise<string | undefined> {
    try {
      const {state} = await this.call('jobStatus', {jobId});
      this.lost.delete(jobId);
      return state;
    } catch (error) {
      const isUnknown =
        error instanceof ResultError &&
        error.code.number === ResultCodes.NOT_FOUND.number;
      if (isUnknown) this.lost.add(jobId);
      return undefined;
    }
  }
}
