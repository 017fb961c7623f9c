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
  /** Time in ms in which a write in doubt is settled. @default 4000 */
  resolveTimeoutMs?: number;
  /** Time in ms between attempts to settle a write. @default 50 */
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

/** What became of a write. */
export type RecordWriteResult =
  | {written: true; entry: PlatformEntry}
  | {written: false; current: PlatformEntry | undefined};

/**
 * Writes records by compare-and-swap. A write whose answer was lost is read
 * back and repeated with the same expected revision, so that it takes effect
 * at most once and its result is certain.
 */
export class ChangeWriter {
  constructor(private readonly options: ChangeWriterOptions) {}

  /**
   * Writes a record.
   *
   * @throws ResultError PLATFORM_UNAVAILABLE if nothing was sent;
   *     CHANGE_IN_DOUBT if the result is unknown when the time is over.
   */
  async write(change: RecordWrite): Promise<RecordWriteResult> {
    const {
      clock,
      resolveTimeoutMs: resolveTimeoutMs = 4000,
      retryIntervalMs: retryIntervalMs = 50,
    } = this.options;
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

  /** Returns undefined if the write has to be repeated. */
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

/** Tells whether the record that is there now contains this change. */
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
  // It took effect, and another operator has changed the key since.
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
