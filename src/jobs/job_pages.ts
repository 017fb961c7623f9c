import {PlatformEntry, WriteResult} from '../platform/platform_service.js';
import {JobRecord} from './job_record.js';
import {PageCommand} from './page_command.js';
import {PageHeader, PageOutcome, StoredPage} from './stored_page.js';
import {WriteRateLimiter} from './write_rate_limiter.js';

/** Options of {@link JobPages}. */
export interface JobPagesOptions {
  /** Key prefix of the shard's pages, ending in '/'. */
  prefix: string;
  /** Epoch of the owner; grows with each change of ownership. */
  epoch: number;
  /** Limits the rate of writes; shared by all shards of the process. */
  writeLimiter: WriteRateLimiter;
  /** Minimum time in ms between write batches of the shard. @default 50 */
  groupCommitMs?: number;
  /** Size in bytes at which a page accepts no more jobs. @default 49152 */
  sealBytes?: number;
  /**
   * Minimum time in ms for which ended jobs are kept; a page is removed once
   * all of its jobs have expired.
   *
   * @default 600000
   */
  endedRetentionMs?: number;
}

/** Receives the events of {@link JobPages}. */
export interface JobPagesListener {
  /** All pages have been rewritten under this epoch and contain these jobs. */
  onLoaded(records: JobRecord[]): void;
  /** The job is stored in the state of its `version`. */
  onStored(jobId: string, version: number): void;
  /** The platform is unreachable, and the job is certainly not stored. */
  onNotStored(jobId: string): void;
  /** The job's page is being deleted, because its jobs have expired. */
  onDropped(jobId: string): void;
  /** A later owner has taken over the shard. */
  onSuperseded(): void;
}

interface DirectoryContent extends PageHeader {
  pages: string[];
}

interface PageContent extends PageHeader {
  jobs: JobRecord[];
}

interface JobEntry {
  record: JobRecord;
  version: number;
  /** Latest version that is known to be stored. */
  storedVersion: number;
  /** First write that contained the job; 0 before that, -1 for loaded jobs. */
  firstWrite: number;
}

interface Page {
  id: string;
  stored: StoredPage;
  jobs: Map<string, JobEntry>;
  /** Versions by job in the outstanding write. */
  writingVersions: Map<string, number>;
  /**
   * True if the stored directory lists the page; only then are its jobs
   * reported as stored.
   */
  isRegistered: boolean;
  /** Written versions by job that wait for the page to be registered. */
  awaitingRegistration: Map<string, number>;
  bytes: number;
}

/**
 * Name of the directory page. Owners never delete it, so a compare-and-swap on
 * it fences earlier owners.
 */
const DIRECTORY = 'directory';

/** Delay in ms before the next calls after a call has failed. */
const RETRY_MS = 500;

/**
 * The stored jobs of one shard, in pages that a directory key lists. On a
 * takeover, the new owner rewrites the directory first, so that an earlier
 * owner can't add a page unnoticed, and then each page.
 *
 * Performs no I/O: `tick` returns the platform calls that are due, and the
 * caller reports their results.
 */
export class JobPages {
  private phase: 'listing' | 'claiming' | 'rewriting' | 'ready' | 'over' =
    'listing';
  private isListing = false;
  private directory: StoredPage;
  private directoryPagesInWrite: string[] = [];
  private readonly pages = new Map<string, Page>();
  private readonly pageOfJob = new Map<string, Page>();
  /** Pages that are removed, or about to be removed, from the directory. */
  private retired: Page[] = [];
  /** Page that accepts new jobs. */
  private openPage: Page | undefined;
  private nextWrite = 1;
  private nextPage = 1;
  private nextWriteAtMs = 0;
  private hasFailed = false;
  private retryAtMs = 0;

  constructor(
    private readonly options: JobPagesOptions,
    private readonly listener: JobPagesListener,
  ) {
    this.directory = this.createStoredPage(DIRECTORY, 0);
  }

  /** True if all pages have been rewritten under this epoch. */
  get isReady(): boolean {
    return this.phase === 'ready';
  }

  /**
   * Adds a job, or marks a known job as changed.
   *
   * @returns The version that this change will be stored as.
   */
  put(jobId: string, record: JobRecord): number {
    const page = this.pageOfJob.get(jobId) ?? this.pageForNewJob();
    const jobEntry = page.jobs.get(jobId) ?? {
      record,
      version: 0,
      storedVersion: 0,
      firstWrite: 0,
    };
    if (jobEntry.version === 0) {
      page.bytes += JSON.stringify(record).length;
      page.jobs.set(jobId, jobEntry);
      this.pageOfJob.set(jobId, page);
    }
    jobEntry.version += 1;
    page.stored.isDirty = true;
    return jobEntry.version;
  }

  /** Returns the platform calls that are due. */
  tick(nowMs: number, wallMs: number): PageCommand[] {
    if (this.hasFailed) {
      this.hasFailed = false;
      this.retryAtMs = nowMs + RETRY_MS;
    }
    if (this.phase === 'over' || nowMs < this.retryAtMs) return [];
    if (this.phase === 'listing') {
      if (this.isListing) return [];
      this.isListing = true;
      return [{type: 'listPages', prefix: this.options.prefix}];
    }
    const commands: PageCommand[] = [];
    for (const stored of this.allStoredPages()) {
      if (stored.isInDoubt) commands.push(stored.readBack());
    }
    if (this.phase === 'ready') {
      this.retireExpired(wallMs);
      commands.push(...this.deleteRetired());
    }
    this.writeDuePages(nowMs, commands);
    return commands;
  }

  /** Handles the result of a listing; undefined if it failed. */
  onListed(entries: PlatformEntry[] | undefined): void {
    if (this.phase !== 'listing') return;
    this.isListing = false;
    if (!entries) {
      this.hasFailed = true;
      return;
    }
    const key = this.options.prefix + DIRECTORY;
    const entry = entries.find((candidate) => candidate.key === key);
    const content = entry && (JSON.parse(entry.value) as DirectoryContent);
    if (content && content.epoch > this.options.epoch) {
      this.markSuperseded();
      return;
    }
    this.pages.clear();
    for (const id of content?.pages ?? []) this.loadPage(id, entries);
    this.directory = this.createStoredPage(DIRECTORY, entry?.revision ?? 0);
    this.directory.isDirty = true;
    this.phase = 'claiming';
  }

  /** Handles the result of a write. */
  onWritten(key: string, writeId: number, result: WriteResult): void {
    const stored = this.storedPageOf(key);
    if (stored) this.applyOutcome(stored, stored.onWritten(writeId, result));
  }

  /** Handles a failed write; see {@link StoredPage.onWriteFailed}. */
  onWriteFailed(key: string, writeId: number, wasSent: boolean): void {
    this.hasFailed = true;
    const stored = this.storedPageOf(key);
    stored?.onWriteFailed(writeId, wasSent);
    const page = stored && this.pageOf(stored);
    if (page && !wasSent) this.rejectUnsent(page, writeId);
  }

  /** Handles the value of a key that was read to resolve a write in doubt. */
  onRead(key: string, writeId: number, entry: PlatformEntry | undefined): void {
    const stored = this.storedPageOf(key);
    if (stored) this.applyOutcome(stored, stored.onRead(writeId, entry));
  }

  /** Handles the failure of such a read. */
  onReadFailed(key: string, writeId: number): void {
    this.hasFailed = true;
    this.storedPageOf(key)?.onReadFailed(writeId);
  }

  /**
   * Rejects the jobs whose first write was not sent. They are certainly not
   * stored, so they can be rejected immediately.
   */
  private rejectUnsent(page: Page, writeId: number): void {
    for (const [jobId, jobEntry] of page.jobs) {
      if (jobEntry.firstWrite !== writeId) continue;
      page.jobs.delete(jobId);
      this.pageOfJob.delete(jobId);
      this.listener.onNotStored(jobId);
    }
  }

  private *allStoredPages(): Iterable<StoredPage> {
    yield this.directory;
    for (const page of this.pages.values()) yield page.stored;
  }

  private storedPageOf(key: string): StoredPage | undefined {
    const id = key.slice(this.options.prefix.length);
    return id === DIRECTORY ? this.directory : this.pages.get(id)?.stored;
  }

  private createStoredPage(id: string, revision: number): StoredPage {
    return new StoredPage(
      this.options.prefix + id,
      revision,
      this.options.epoch,
    );
  }

  private loadPage(id: string, entries: PlatformEntry[]): void {
    const key = this.options.prefix + id;
    const entry = entries.find((candidate) => candidate.key === key);
    const stored = this.createStoredPage(id, entry?.revision ?? 0);
    stored.isDirty = true;
    const page: Page = {
      id,
      stored,
      jobs: new Map(),
      writingVersions: new Map(),
      isRegistered: true,
      awaitingRegistration: new Map(),
      bytes: 0,
    };
    this.pages.set(id, page);
    this.loadJobs(page, entry);
  }

  private loadJobs(page: Page, entry: PlatformEntry | undefined): void {
    page.jobs.clear();
    if (!entry) return;
    page.bytes = entry.value.length;
    const content = JSON.parse(entry.value) as PageContent;
    for (const record of content.jobs) {
      page.jobs.set(record.job.id, {
        record,
        version: 1,
        storedVersion: 1,
        firstWrite: -1,
      });
    }
  }

  private pageForNewJob(): Page {
    const {sealBytes = 49_152, epoch} = this.options;
    if (this.openPage && this.openPage.bytes < sealBytes) return this.openPage;
    const id = `${epoch}-${this.nextPage++}`;
    this.openPage = {
      id,
      stored: this.createStoredPage(id, 0),
      jobs: new Map(),
      writingVersions: new Map(),
      isRegistered: false,
      awaitingRegistration: new Map(),
      bytes: 0,
    };
    this.pages.set(id, this.openPage);
    return this.openPage;
  }

  private writeDuePages(nowMs: number, commands: PageCommand[]): void {
    // The first writes of an owner are part of the takeover and are not
    // delayed.
    const isTakingOver = this.phase !== 'ready';
    if (!isTakingOver && nowMs < this.nextWriteAtMs) return;
    for (const stored of this.allStoredPages()) {
      if (!stored.isDirty || !stored.isIdle) continue;
      if (this.phase === 'claiming' && stored !== this.directory) continue;
      if (!isTakingOver && !this.options.writeLimiter.tryAcquire(nowMs)) return;
      this.nextWriteAtMs = nowMs + (this.options.groupCommitMs ?? 50);
      commands.push(this.startWrite(stored));
    }
  }

  /** Starts a write of the page's current content. */
  private startWrite(stored: StoredPage): PageCommand {
    const writeId = this.nextWrite++;
    if (stored === this.directory) {
      const registered = [...this.pages.values()].filter(
        (page) => page.isRegistered || page.stored.revision > 0,
      );
      this.directoryPagesInWrite = registered.map((page) => page.id);
      return stored.write(writeId, {pages: this.directoryPagesInWrite});
    }
    const page = this.pageOf(stored)!;
    page.writingVersions.clear();
    for (const [jobId, jobEntry] of page.jobs) {
      if (jobEntry.firstWrite === 0) jobEntry.firstWrite = writeId;
      if (jobEntry.version > jobEntry.storedVersion) {
        page.writingVersions.set(jobId, jobEntry.version);
      }
    }
    const jobs = [...page.jobs.values()].map((jobEntry) => jobEntry.record);
    return stored.write(writeId, {jobs});
  }

  private pageOf(stored: StoredPage): Page | undefined {
    return this.pages.get(stored.key.slice(this.options.prefix.length));
  }

  private applyOutcome(stored: StoredPage, outcome: PageOutcome): void {
    if (outcome.type === 'superseded') this.markSuperseded();
    if (outcome.type === 'written') this.afterWrite(stored);
    if (outcome.type === 'outdated') this.afterOutdated(stored, outcome);
  }

  private afterOutdated(
    stored: StoredPage,
    outcome: {current: PlatformEntry | undefined},
  ): void {
    if (stored === this.directory) {
      // An earlier owner changed the directory after the listing; list again.
      this.phase = 'listing';
      return;
    }
    if (this.phase === 'ready') {
      this.markSuperseded();
      return;
    }
    this.loadJobs(this.pageOf(stored)!, outcome.current);
  }

  private afterWrite(stored: StoredPage): void {
    if (stored === this.directory) this.afterDirectoryWrite();
    else this.afterPageWrite(this.pageOf(stored)!);
    const isRewritten =
      this.phase === 'rewriting' &&
      [...this.allStoredPages()].every((one) => one.isIdle && !one.isDirty);
    if (isRewritten) this.finishTakeover();
  }

  private afterDirectoryWrite(): void {
    if (this.phase === 'claiming') this.phase = 'rewriting';
    for (const id of this.directoryPagesInWrite) {
      const page = this.pages.get(id);
      if (!page || page.isRegistered) continue;
      page.isRegistered = true;
      this.reportStored(page);
    }
  }

  private afterPageWrite(page: Page): void {
    for (const [jobId, version] of page.writingVersions) {
      page.jobs.get(jobId)!.storedVersion = version;
      page.awaitingRegistration.set(jobId, version);
    }
    if (page.isRegistered) this.reportStored(page);
    else this.directory.isDirty = true;
  }

  /** Reports written versions to the listener once the owner is ready. */
  private reportStored(page: Page): void {
    if (this.phase !== 'ready') {
      page.awaitingRegistration.clear();
      return;
    }
    const versions = [...page.awaitingRegistration];
    page.awaitingRegistration.clear();
    for (const [jobId, version] of versions) {
      this.listener.onStored(jobId, version);
    }
  }

  private finishTakeover(): void {
    this.phase = 'ready';
    const records: JobRecord[] = [];
    for (const page of this.pages.values()) {
      for (const [jobId, jobEntry] of page.jobs) {
        this.pageOfJob.set(jobId, page);
        records.push(jobEntry.record);
      }
    }
    this.listener.onLoaded(records);
  }

  /** Removes pages from the directory whose jobs have all expired. */
  private retireExpired(wallMs: number): void {
    const retentionMs = this.options.endedRetentionMs ?? 600_000;
    for (const page of this.pages.values()) {
      const isInUse =
        page === this.openPage ||
        !page.isRegistered ||
        !page.stored.isIdle ||
        page.stored.isDirty;
      const hasExpired = ({record}: JobEntry): boolean =>
        record.endedWallMs !== undefined &&
        record.endedWallMs + retentionMs < wallMs;
      if (isInUse || ![...page.jobs.values()].every(hasExpired)) continue;
      this.pages.delete(page.id);
      this.retired.push(page);
      this.directory.isDirty = true;
      for (const jobId of page.jobs.keys()) {
        this.pageOfJob.delete(jobId);
        this.listener.onDropped(jobId);
      }
    }
  }

  /** Deletes pages that the stored directory no longer lists. */
  private deleteRetired(): PageCommand[] {
    if (this.directory.isDirty || !this.directory.isIdle) return [];
    return this.retired.splice(0).map(({stored}) => ({
      type: 'deletePage',
      key: stored.key,
      expectedRevision: stored.revision,
    }));
  }

  private markSuperseded(): void {
    if (this.phase === 'over') return;
    this.phase = 'over';
    this.listener.onSuperseded();
  }
}
