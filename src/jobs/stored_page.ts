import {PlatformEntry, WriteResult} from '../platform/platform_service.js';
import {PageCommand} from './page_command.js';

/** Fields that every stored page has. */
export interface PageHeader {
  /** Epoch of the owner that wrote the page. */
  epoch: number;
  /** Sequence number of the write, unique within the epoch. */
  write: number;
}

/** Effect of a call's result on the page. */
export type PageOutcome =
  | {type: 'none'}
  | {type: 'written'}
  /** An earlier owner wrote the page after it was read; use its content. */
  | {type: 'outdated'; current: PlatformEntry | undefined}
  /** A later owner wrote the page, or removed it. */
  | {type: 'superseded'};

const NONE: PageOutcome = {type: 'none'};

/**
 * One platform key that the owner of a shard updates by compare-and-swap. If
 * the response to a write is lost, the key is read back to find out whether the
 * write took effect.
 */
export class StoredPage {
  /** True if the content has changed since the last write started. */
  isDirty = false;
  private state: 'idle' | 'writing' | 'doubt' | 'reading' = 'idle';
  private writeId = 0;

  constructor(
    readonly key: string,
    public revision: number,
    private readonly epoch: number,
  ) {}

  /** True if no call for this page is outstanding or in doubt. */
  get isIdle(): boolean {
    return this.state === 'idle';
  }

  /** True if the key has to be read to resolve a write in doubt. */
  get isInDoubt(): boolean {
    return this.state === 'doubt';
  }

  /** Starts a write of `content`; the page must be idle. */
  write(writeId: number, content: object): PageCommand {
    const header: PageHeader = {epoch: this.epoch, write: writeId};
    this.isDirty = false;
    this.state = 'writing';
    this.writeId = writeId;
    return {
      type: 'writePage',
      key: this.key,
      writeId,
      value: JSON.stringify({...header, ...content}),
      expectedRevision: this.revision,
    };
  }

  /** Starts the read that resolves a write in doubt. */
  readBack(): PageCommand {
    this.state = 'reading';
    return {type: 'readPage', key: this.key, writeId: this.writeId};
  }

  /** Handles the result of a write. */
  onWritten(writeId: number, result: WriteResult): PageOutcome {
    if (writeId !== this.writeId || this.state !== 'writing') return NONE;
    if (!result.written) return this.onConflict(result.current);
    this.state = 'idle';
    this.revision = result.revision;
    return {type: 'written'};
  }

  /** Handles a failed write; it may have taken effect only if `wasSent`. */
  onWriteFailed(writeId: number, wasSent: boolean): void {
    if (writeId !== this.writeId || this.state !== 'writing') return;
    this.state = wasSent ? 'doubt' : 'idle';
    if (!wasSent) this.isDirty = true;
  }

  /** Handles the value that resolves a write in doubt. */
  onRead(writeId: number, entry: PlatformEntry | undefined): PageOutcome {
    if (writeId !== this.writeId || this.state !== 'reading') return NONE;
    if ((entry?.revision ?? 0) === this.revision) {
      // The write may still take effect. The next write then conflicts with it,
      // and `onConflict` recognizes it by its epoch.
      this.state = 'idle';
      this.isDirty = true;
      return NONE;
    }
    return this.onConflict(entry);
  }

  /** Handles a failed read; the write stays in doubt. */
  onReadFailed(writeId: number): void {
    if (writeId !== this.writeId || this.state !== 'reading') return;
    this.state = 'doubt';
  }

  private onConflict(current: PlatformEntry | undefined): PageOutcome {
    this.state = 'idle';
    const header = current
      ? (JSON.parse(current.value) as PageHeader)
      : undefined;
    if (!current || !header) return {type: 'superseded'};
    if (header.epoch > this.epoch) return {type: 'superseded'};
    this.revision = current.revision;
    if (header.epoch === this.epoch && header.write === this.writeId) {
      return {type: 'written'};
    }
    this.isDirty = true;
    return header.epoch < this.epoch ? {type: 'outdated', current} : NONE;
  }
}
