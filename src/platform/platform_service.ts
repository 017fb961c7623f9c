/** A value with the platform's revision of its last change. */
export interface PlatformEntry {
  key: string;
  /** UTF-8 text; binary values are encoded as base64. */
  value: string;
  /** Revision of the last change of this key. */
  revision: number;
}

/** Change reported by a watch; a deletion has no value. */
export interface PlatformChange {
  key: string;
  value: string | undefined;
  revision: number;
}

/** Result of a compare-and-swap. */
export type WriteResult =
  | {written: true; revision: number}
  | {written: false; current: PlatformEntry | undefined};

/** Kinds of VMs, by what runs on them. */
export const VmKind = {
  ENTRY: 'entry',
  TARGET: 'target',
  WORKER: 'worker',
} as const;

/** One of the values of {@link VmKind}. */
export type VmKind = (typeof VmKind)[keyof typeof VmKind];

/** One VM in the platform's list, which may be out of date. */
export interface VmEntry {
  /** Name of the VM. */
  vm: string;
  dataCentre: string;
  kind: VmKind;
  /** IP address. */
  host: string;
  /** TCP port of the worker or executor; 0 for entry VMs. */
  port: number;
  /** Rack of a worker, or group of a target; the unit of ownership. */
  shard: string;
  /** Service that a target serves. @default none */
  service?: string;
  /** 'leaving' once the platform or an operator intends to remove the VM. */
  state: 'live' | 'leaving';
}

/**
 * The platform's key-value service and VM list. Each method is one call, and
 * a call that fails may have taken effect.
 */
export interface PlatformService {
  /** Reads one key. */
  read(key: string): Promise<PlatformEntry | undefined>;
  /** Reads all keys that start with `prefix`, with the store's revision. */
  list(prefix: string): Promise<{entries: PlatformEntry[]; revision: number}>;
  /**
   * Writes `value` if the key still has `expectedRevision` (0: absent).
   *
   * @throws ResultError PLATFORM_UNAVAILABLE if no request was sent, otherwise
   *     CHANGE_IN_DOUBT.
   */
  write(write: PlatformWrite): Promise<WriteResult>;
  /** Deletes the key if it still has `expectedRevision`. */
  delete(key: string, expectedRevision: number): Promise<WriteResult>;
  /**
   * Waits for changes of keys that start with `prefix` after `sinceRevision`.
   *
   * @returns The changes, or none when `waitMs` has passed.
   */
  watch(
    prefix: string,
    options: WatchOptions,
  ): Promise<{changes: PlatformChange[]; revision: number}>;
  /**
   * Returns the list of VMs of a data centre, which may be out of date. An
   * unchanged list costs a call but is not transferred again.
   */
  listVms(dataCentre: string): Promise<readonly VmEntry[]>;
}

/** Arguments of {@link PlatformService.write}. */
export interface PlatformWrite {
  key: string;
  value: string;
  /** Revision the key must have; 0 means that it must not exist. */
  expectedRevision: number;
  /** Time in ms after which the platform drops the key. @default never */
  timeToLiveMs?: number;
}

/** Options of {@link PlatformService.watch}. */
export interface WatchOptions {
  /** Only changes with a higher revision are returned. */
  sinceRevision: number;
  /** Longest wait in ms. @default 10000 */
  waitMs?: number;
  /** Aborts the wait. @default none */
  signal?: AbortSignal;
}
