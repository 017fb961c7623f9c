import {Configuration, findQueue, Queue} from '../work/configuration.js';
import {JobDefinition} from '../work/job_definition.js';
import {JobSizeLimits} from '../work/job_size.js';
import {GatewayResult} from './gateway_result.js';
import {JobCanceller} from './job_canceller.js';
import {JobLookUp, JobLookUpOptions} from './job_look_up.js';
import {JobSubmitter} from './job_submitter.js';

/** Options of {@link JobGateway}. */
export interface JobGatewayOptions extends JobLookUpOptions {
  /** Limits on the size of jobs. @default none */
  limits?: JobSizeLimits;
}

/**
 * Accepts, queries and cancels jobs for clients. Uses the store directly, or
 * the owner as a relay while this node cannot reach the store.
 */
export class JobGateway {
  private current: Configuration | undefined;
  private readonly lookUp: JobLookUp;
  private readonly submitter: JobSubmitter;
  private readonly canceller: JobCanceller;

  constructor(options: JobGatewayOptions) {
    this.lookUp = new JobLookUp(options);
    this.submitter = new JobSubmitter({
      ...options,
      configurationVersion: () => this.current?.version,
    });
    this.canceller = new JobCanceller({...options, lookUp: this.lookUp});
  }

  /** Current configuration; undefined until the first is received. */
  get configuration(): Configuration | undefined {
    return this.current;
  }

  /** Applies a configuration unless it is older than the current one. */
  configure(configuration: Configuration): void {
    if (this.current && configuration.version < this.current.version) return;
    this.current = configuration;
  }

  /** Finds the queue that serves a host and path. */
  findQueue(host: string, path: string): Queue | undefined {
    return this.current && findQueue(this.current, host, path);
  }

  /** Stores a job; see {@link JobSubmitter.submit}. */
  submit(
    definition: JobDefinition,
    remainingMs?: number,
  ): Promise<GatewayResult> {
    return this.submitter.submit(definition, remainingMs);
  }

  /** Returns the phase of a job. */
  getPhase(jobId: string): Promise<GatewayResult> {
    return this.lookUp.getPhase(jobId);
  }

  /** Explains why a job runs or waits; see {@link JobLookUp.explain}. */
  explain(jobId: string): Promise<GatewayResult> {
    return this.lookUp.explain(jobId);
  }

  /** Returns the number of jobs in a queue of which no task has started. */
  getPendingCount(queue: Queue): Promise<GatewayResult> {
    return this.lookUp.getPendingCount(queue.name);
  }

  /** Cancels a job; see {@link JobCanceller.cancel}. */
  cancel(jobId: string): Promise<GatewayResult> {
    return this.canceller.cancel(jobId);
  }
}
