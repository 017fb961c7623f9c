import xxhash from 'xxhash-wasm';

const CHANGES_SUFFIX = '/changes';

/**
 * Number of chains of transactions. The owner sends that many transactions at
 * once, so that a process that reads each response late commits no less.
 */
const CHAIN_COUNT = 8;

/** Number of lists of cancelled IDs; a change of it needs new keys. */
const CANCELLED_LIST_COUNT = 512;

const hasher = await xxhash();

/** Store keys that hold the state of a partition. */
export class PartitionKeys {
  /** Prefix of the keys that every node mirrors. */
  readonly prefix: string;
  /** Prefix of the lists of IDs that were cancelled without a job. */
  readonly cancelledPrefix: string;
  /** Prefix of the progress of jobs, which only an owner reads in full. */
  readonly progressPrefix: string;
  /** Key of the owner record; attached to the lease of the owner. */
  readonly owner: string;
  /** Head of the first chain of transactions, which every commit uses. */
  readonly head: string;
  /**
   * Heads of all chains. Each transaction of the owner rewrites the head of its
   * chain, for fencing.
   */
  readonly heads: readonly string[];

  /** @param partition - Name of the partition. */
  constructor(partition: string) {
    this.prefix = `banyanmux/${partition}/`;
    this.cancelledPrefix = `${this.prefix}cancelled/`;
    this.progressPrefix = `banyanmux-progress/${partition}/`;
    this.owner = `${this.prefix}owner`;
    this.head = `${this.prefix}head`;
    this.heads = Array.from({length: CHAIN_COUNT}, (_, number) =>
      number === 0 ? this.head : `${this.head}-${number}`,
    );
  }

  /** Key of the submission of a job, written once by a gateway. */
  submission(jobId: string): string {
    return `${this.prefix}jobs/${jobId}/submission`;
  }

  /** Key that exists once a caller has cancelled the job. */
  cancellation(jobId: string): string {
    return `${this.prefix}jobs/${jobId}/cancellation`;
  }

  /** Key of the list that names an ID if it was cancelled without a job. */
  cancelledIds(jobId: string): string {
    const list = hasher.h32(jobId) % CANCELLED_LIST_COUNT;
    return `${this.cancelledPrefix}${list}`;
  }

  /** Key of the progress of a job, written by the owner. */
  progress(jobId: string): string {
    return `${this.progressPrefix}${jobId}`;
  }

  /** Key of the tasks that have changed since the progress was written. */
  progressChanges(jobId: string): string {
    return `${this.progress(jobId)}${CHANGES_SUFFIX}`;
  }

  /** Splits a key below {@link progressPrefix} into job ID and kind. */
  parseProgressKey(key: string): {jobId: string; isChanges: boolean} {
    const name = key.slice(this.progressPrefix.length);
    const isChanges = name.endsWith(CHANGES_SUFFIX);
    const jobId = isChanges ? name.slice(0, -CHANGES_SUFFIX.length) : name;
    return {jobId, isChanges};
  }

  /**
   * Splits a mirrored key of a job into the ID and the suffix, such as
   * 'submission'.
   *
   * @returns Undefined if the key is not that of a job.
   */
  parseJobKey(key: string): {jobId: string; suffix: string} | undefined {
    const jobs = `${this.prefix}jobs/`;
    if (!key.startsWith(jobs)) return undefined;
    const [jobId, suffix] = key.slice(jobs.length).split('/');
    return jobId && suffix ? {jobId, suffix} : undefined;
  }
}
