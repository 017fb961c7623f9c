import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {
  PlatformEntry,
  PlatformService,
  PlatformWrite,
  WriteResult,
} from '../platform/platform_service.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {ConfigurationRecord} from './configuration_record.js';

/** Options of {@link ChangeWriter}. */
export interface ChangeWriterOptions {
  platform: PlatformService;
  clock: Clock;
  /** Time limit in ms for resolving a write in doubt. @default 4000 */
  resolveTimeoutMs?: number;
  /** Time in ms between attempts to resolve a write. @default 50 */
  retryIntervalMs?: number;
}

/** A record to write. */
export interface RecordWrite {
  key: string;
  record: ConfigurationRecord<unknown>;
  /** Revision the key must have; 0 means that it must not exist. */
  expectedRevision: number;
  /** Time in ms after which the platform drops the key. @default never */
  timeToLiveMs?: number;
}

/** Outcome of a write; `current` is the entry that prevented it. */
export type RecordWriteResult =
  | {written: true; entry: PlatformEntry}
  | {written: false; current: PlatformEntry | undefined};

/**
 * Writes records by compare-and-swap. If the response to a write is lost, the
 * key is read back and, if unchanged, written again with the same expected
 * revision, so that the change takes effect at most once and its outcome is
 * known.
 */
export class ChangeWriter {
  constructor(private readonly options: ChangeWriterOptions) {}

  /**
   * Writes a record.
   *
   * @throws ResultError PLATFORM_UNAVAILABLE if no request was sent;
   *     CHANGE_IN_DOUBT if the outcome is unknown when the time limit expires.
   */
  async write(change: RecordWrite): Promise<RecordWriteResult> {
    const {clock, resolveTimeoutMs = 4000, retryIntervalMs = 50} = this.options;
    const endMs = clock.nowMs() + resolveTimeoutMs;
    let mayHaveTakenEffect = false;
    for (;;) {
      try {
        const result = await this.tryWrite(change, mayHaveTakenEffect);
        if (result) return result;
      } catch (error) {
        if (!mayHaveTakenEffect && !isInDoubt(error)) throw error;
        if (clock.nowMs() >= endMs) throw inDoubt(change.key, error as Error);
      }
      mayHaveTakenEffect = true;
      await sleep(retryIntervalMs);
    }
  }

  /** Reads the key first if an earlier attempt may have written it. */
  private async tryWrite(
    change: RecordWrite,
    mayHaveTakenEffect: boolean,
  ): Promise<RecordWriteResult | undefined> {
    const {platform} = this.options;
    if (mayHaveTakenEffect) {
      const current = await platform.read(change.key);
      const isUnchanged = (current?.revision ?? 0) === change.expectedRevision;
      if (!isUnchanged) return resolveOutcome(change, current);
    }
    const platformWrite: PlatformWrite = {
      key: change.key,
      value: JSON.stringify(change.record),
      expectedRevision: change.expectedRevision,
      timeToLiveMs: change.timeToLiveMs,
    };
    const result: WriteResult = await platform.write(platformWrite);
    if (!result.written) return resolveOutcome(change, result.current);
    const {revision} = result;
    return {
      written: true,
      entry: {key: change.key, value: platformWrite.value, revision},
    };
  }
}

/** Determines from the stored record whether the change was applied. */
function resolveOutcome(
  change: RecordWrite,
  current: PlatformEntry | undefined,
): RecordWriteResult {
  if (!current) return {written: false, current};
  const {id} = change.record.change;
  const record = JSON.parse(current.value) as ConfigurationRecord<unknown>;
  if (record.change.id === id) return {written: true, entry: current};
  const pastChange = record.history.find((earlier) => earlier.id === id);
  if (!pastChange) return {written: false, current};
  // The change took effect and was followed by a later change of the key.
  const value = JSON.stringify(change.record);
  const {revision} = pastChange;
  return {written: true, entry: {key: change.key, value, revision}};
}

function isInDoubt(error: unknown): boolean {
  return (
    error instanceof ResultError && error.code === ResultCodes.CHANGE_IN_DOUBT
  );
}

function inDoubt(key: string, cause: Error): ResultError {
  return new ResultError(
    ResultCodes.CHANGE_IN_DOUBT,
    `Cannot tell whether the change of "${key}" took effect: ${cause.message}`,
    {cause},
  );
}
