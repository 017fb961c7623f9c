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
  settleMs?: number;
  /** Time in ms between attempts to settle a write. @default 50 */
  retryMs?: number;
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
    const {clock, settleMs = 4000, retryMs = 50} = this.options;
    const endMs = clock.nowMs() + settleMs;
    let mayBeWritten = false;
    for (;;) {
      try {
        const result = await this.attempt(change, mayBeWritten);
        if (result) return result;
      } catch (error) {
        if (!mayBeWritten && !isInDoubt(error)) throw error;
        if (clock.nowMs() >= endMs) throw inDoubt(change.key, error as Error);
      }
      mayBeWritten = true;
      await sleep(retryMs);
    }
  }

  /** Returns undefined if the write has to be repeated. */
  private async attempt(
    change: RecordWrite,
    mayBeWritten: boolean,
  ): Promise<RecordWriteResult | undefined> {
    const {platform} = this.options;
    if (mayBeWritten) {
      const current = await platform.read(change.key);
      const isUnchanged = (current?.revision ?? 0) === change.expectedRevision;
      if (!isUnchanged) return settle(change, current);
    }
    const write: PlatformWrite = {
      key: change.key,
      value: JSON.stringify(change.record),
      expectedRevision: change.expectedRevision,
      timeToLiveMs: change.timeToLiveMs,
    };
    const result: WriteResult = await platform.write(write);
    if (!result.written) return settle(change, result.current);
    const {revision} = result;
    return {
      written: true,
      entry: {key: change.key, value: write.value, revision},
    };
  }
}

/** Tells whether the record that is there now contains this change. */
function settle(
  change: RecordWrite,
  current: PlatformEntry | undefined,
): RecordWriteResult {
  if (!current) return {written: false, current};
  const {id} = change.record.change;
  const record = JSON.parse(current.value) as ConfigurationRecord<unknown>;
  if (record.change.id === id) return {written: true, entry: current};
  const past = record.history.find((earlier) => earlier.id === id);
  if (!past) return {written: false, current};
  // It took effect, and another operator has changed the key since.
  const value = JSON.stringify(change.record);
  const {revision} = past;
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
