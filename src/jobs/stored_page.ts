import {PlatformEntry, WriteResult} from '../platform/platform_service.js';
import {PageCommand} from './page_command.js';

/** Fields that every stored page has. */
export interface PageHeader {
  /** Epoch of the owner that wrote the page. */
  epoch: number;
  /** Number of the write, unique within the epoch. */
  write: number;
}

/** What a result of a call means for the page. */
export type PageOutcome =
  | {type: 'none'}
  | {type: 'written'}
  /** An earlier owner wrote it after it was read; its content counts. */
  | {type: 'outdated'; current: PlatformEntry | undefined}
  /** A later owner wrote it, or removed it. */
  | {type: 'superseded'};

const NONE: PageOutcome = {type: 'none'};

/**
 * One platform key that the owner of a shard changes by compare-and-swap.
 * Settles writes whose answer was lost by reading the key back.
 */
export class StoredPage {
  isDirty = false;
  private state: 'idle' | 'writing' | 'doubt' | 'reading' = 'idle';
  private writeId = 0;

  constructor(
    readonly key: string,
    public revision: number,
    private readonly epoch: number,
  ) {}

  /** Tells whether no call for this page is outstanding or in doubt. */
  get isIdle(): boolean {
    return this.state === 'idle';
  }

  /** Tells whether the key has to be read to settle a write in doubt. */
  get isInDoubt(): boolean {
    return this.state === 'doubt';
  }

  /** Returns the write of `content`; the page must be idle. */
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

  /** Returns the read that settles a write in doubt. */
  readBack(): PageCommand {
    this.state = 'reading';
    return {type: 'readPage', key: this.key, writeId: this.writeId};
  }

  /** Takes the answer of a write. */
  onWritten(writeId: number, result: WriteResult): PageOutcome {
    if (writeId !== this.writeId || this.state !== 'writing') return NONE;
    if (!result.written) return this.onConflict(result.current);
    this.state = 'idle';
    this.revision = result.revision;
    return {type: 'written'};
  }

  /** Takes the failure of a write; `wasSent` tells whether it may count. */
  onWriteFailed(writeId: number, wasSent: boolean): void {
    if (writeId !== this.writeId || this.state !== 'writing') return;
    this.state = wasSent ? 'doubt' : 'idle';
    if (!wasSent) this.isDirty = true;
  }

  /** Takes the value that settles a write in doubt. */
  onRead(writeId: number, entry: PlatformEntry | undefined): PageOutcome {
    if (writeId !== this.writeId || this.state !== 'reading') return NONE;
    if ((entry?.revision ?? 0) === this.revision) {
      // The write may still arrive; then the next one meets a conflict with
      // it, which names this epoch and is settled there.
      this.state = 'idle';
      this.isDirty = true;
      return NONE;
    }
    return this.onConflict(entry);
  }

  /** Takes the failure of the read. */
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
