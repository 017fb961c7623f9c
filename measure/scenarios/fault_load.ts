import {sleep} from '../../src/clock/sleep.js';
import {RandomSource} from '../../src/random/random_source.js';
import {Caller, CallerResult} from '../../testing/caller.js';

const REQUEST_INTERVAL_MS = 10;
const JOB_INTERVAL_MS = 150;
const CANCEL_INTERVAL_MS = 4000;
const REQUEST_TIMEOUT_MS = 5000;
/** Number of retries of a request that has not succeeded. */
const MAX_RETRIES = 3;

/** Sends requests and jobs of one customer and records their outcomes. */
export class FaultLoad {
  requests = 0;
  answered = 0;
  notRun = 0;
  mayHaveRun = 0;
  noAnswer = 0;
  wrongAnswers = 0;
  /** Number of idempotent requests. */
  idempotent = 0;
  /** Number of idempotent requests that succeeded, possibly after retries. */
  idempotentAnswered = 0;
  /** Keys of requests for which each attempt was reported as not run. */
  readonly reportedNotRunKeys = new Set<string>();
  readonly acceptedJobs = new Set<string>();
  readonly cancelledBeforeStart = new Set<string>();
  private readonly pendingActions = new Set<Promise<void>>();

  constructor(
    private readonly caller: Caller,
    private readonly random: RandomSource,
  ) {}

  /** Sends load until `performance.now()` reaches `untilMs`. */
  async run(untilMs: number): Promise<void> {
    await Promise.all([
      this.runPeriodically(untilMs, REQUEST_INTERVAL_MS, (n) =>
        this.sendRequest(n),
      ),
      this.runPeriodically(untilMs, JOB_INTERVAL_MS, (n) => this.submitJob(n)),
      this.runPeriodically(untilMs, CANCEL_INTERVAL_MS, () =>
        this.cancelRecentJobs(),
      ),
    ]);
    await Promise.all(this.pendingActions);
  }

  /**
   * Waits up to `limitMs` until all accepted jobs have ended; returns those
   * that have not.
   */
  async waitForJobs(limitMs: number): Promise<string[]> {
    const deadlineMs = performance.now() + limitMs;
    const unfinished = new Set(this.acceptedJobs);
    while (unfinished.size > 0 && performance.now() < deadlineMs) {
      for (const id of unfinished) {
        if ((await this.readJobState(id)) === 'ended') unfinished.delete(id);
      }
      await sleep(200);
    }
    return [...unfinished];
  }

  private async runPeriodically(
    untilMs: number,
    intervalMs: number,
    action: (count: number) => Promise<void>,
  ): Promise<void> {
    for (let count = 0; performance.now() < untilMs; count++) {
      const pending: Promise<void> = action(count).finally(() =>
        this.pendingActions.delete(pending),
      );
      this.pendingActions.add(pending);
      await sleep(intervalMs * (0.5 + this.random.next()));
    }
  }

  private async sendRequest(count: number): Promise<void> {
    const isIdempotent = this.random.next() < 0.8;
    const nonIdempotentKey = isIdempotent ? undefined : `key-${count}`;
    const input = {
      body: `request ${count} `.repeat(1 + this.random.nextInteger(200)),
      urgency: this.random.next() < 0.3 ? 'urgent' : 'standard',
      timeoutMs: REQUEST_TIMEOUT_MS,
      nonIdempotentKey,
    };
    if (isIdempotent) this.idempotent += 1;
    let isNeverRun = true;
    for (let attempt = 0; attempt <= MAX_RETRIES; attempt++) {
      const result = await this.caller.call(input);
      this.recordResult(result);
      if (result.outcome !== 'did-not-run') isNeverRun = false;
      if (result.outcome === 'ran') {
        if (isIdempotent) this.idempotentAnswered += 1;
        return;
      }
      // Retrying a request with a key is safe as well, and tests the claims.
      await sleep(100 + 200 * attempt);
    }
    if (nonIdempotentKey && isNeverRun) {
      this.reportedNotRunKeys.add(nonIdempotentKey);
    }
  }

  private recordResult(result: CallerResult): void {
    this.requests += 1;
    if (!result.isCorrect) this.wrongAnswers += 1;
    if (result.outcome === 'ran') this.answered += 1;
    else if (result.outcome === 'did-not-run') this.notRun += 1;
    else if (result.outcome === 'may-have-run') this.mayHaveRun += 1;
    else this.noAnswer += 1;
  }

  private async submitJob(count: number): Promise<void> {
    const actualRunTimeMs = 200 + this.random.nextInteger(2000);
    const body = {
      kind: 'catalogue-render',
      urgency: this.random.next() < 0.2 ? 'urgent' : 'batch',
      resources: {
        processors: 1 + this.random.nextInteger(6),
        memoryMegabytes: 2000,
        accelerators: 0,
      },
      runTimeMs: 1000,
      payload: {actualRunTimeMs},
    };
    for (let attempt = 0; attempt < 20; attempt++) {
      try {
        const answer = await this.caller.callJobApi('POST', {
          body,
          idempotencyKey: `job-${count}`,
        });
        if (answer.status < 300 && answer.body['jobId']) {
          this.acceptedJobs.add(answer.body['jobId'] as string);
          return;
        }
      } catch {
        // The entry has failed; retries with the same idempotency key.
      }
      await sleep(300);
    }
  }

  private async cancelRecentJobs(): Promise<void> {
    const jobs = [...this.acceptedJobs].slice(-8);
    await Promise.all(jobs.map((id) => this.cancelJob(id)));
  }

  private async cancelJob(id: string): Promise<void> {
    try {
      const answer = await this.caller.callJobApi('DELETE', {path: `/${id}`});
      const isBeforeStart = answer.body['code'] === 1003;
      if (isBeforeStart) this.cancelledBeforeStart.add(id);
    } catch {
      // The cancellation got no response; the job may run to its end.
    }
  }

  private async readJobState(id: string): Promise<unknown> {
    try {
      return (await this.caller.callJobApi('GET', {path: `/${id}`})).body[
        'state'
      ];
    } catch {
      return undefined;
    }
  }
}
