import {randomUUID} from 'node:crypto';

import {z} from 'zod';

import {PlatformEntry} from '../platform/platform_service.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {ChangeWriter, ChangeWriterOptions} from './change_writer.js';
import {checkContract} from './check_contract.js';
import {checkValue} from './check_value.js';
import {contractKey, stopKey} from './configuration_key.js';
import {
  ChangeAction,
  ConfigurationRecord,
  contractRecordSchema,
  PastChange,
  stopRecordSchema,
} from './configuration_record.js';
import {ConfigurationStore} from './configuration_store.js';
import {Contract} from './contract.js';
import {listFieldChanges} from './list_field_changes.js';
import {PlannedStop, plannedStopSchema} from './planned_stop.js';

/** Options of {@link ConfigurationEditor}. */
export interface ConfigurationEditorOptions extends ChangeWriterOptions {
  store: ConfigurationStore;
}

/** Operator who makes a change, and the reason. */
export interface ChangeAuthor {
  operator: string;
  /** @default '' */
  reason?: string;
  /** Validates the change without writing it. @default false */
  isDryRun?: boolean;
}

/** A record with its platform revision. */
export interface StoredRecord<T> {
  record: ConfigurationRecord<T>;
  /** Platform revision; 0 for a dry run of a new key. */
  revision: number;
}

interface RecordChange<T> {
  key: string;
  schema: z.ZodType<ConfigurationRecord<T>>;
  value: T | null;
  author: ChangeAuthor;
  /** Revision that the change is based on; undefined for the current one. */
  baseRevision: number | undefined;
  timeToLiveMs?: number;
  /** Whether the value that a deletion ends stays in the record. @default false */
  keepsEndedValue?: boolean;
}

/** Largest number of earlier changes kept in a record. */
const MAX_HISTORY_LENGTH = 20;

const DAY_MS = 86_400_000;

/** Time in ms for which the history of a deleted contract is kept. */
const DELETED_CONTRACT_RETENTION_MS = 30 * DAY_MS;

/** Applies operators' changes to contracts and planned stops. */
export class ConfigurationEditor {
  private readonly writer: ChangeWriter;

  constructor(private readonly options: ConfigurationEditorOptions) {
    this.writer = new ChangeWriter(options);
  }

  /**
   * Creates a contract.
   *
   * @throws ResultError REVISION_CONFLICT if the customer already has one.
   */
  async createContract(
    input: unknown,
    author: ChangeAuthor,
  ): Promise<StoredRecord<Contract>> {
    const contract = this.validateContract(input);
    const key = contractKey(contract.customer);
    const current = await this.readRecord(key, contractRecordSchema);
    if (current?.record.value) throw conflictError(key, current);
    return this.applyChange({
      key,
      schema: contractRecordSchema,
      value: contract,
      author,
      baseRevision: current?.revision ?? 0,
    });
  }

  /**
   * Replaces a contract.
   *
   * @throws ResultError REVISION_CONFLICT with the current contract if its
   *     revision is not `baseRevision`; NOT_FOUND if there is none.
   */
  async amendContract(
    input: unknown,
    change: ChangeAuthor & {baseRevision: number},
  ): Promise<StoredRecord<Contract>> {
    const contract = this.validateContract(input);
    const key = contractKey(contract.customer);
    return this.applyChange({
      key,
      schema: contractRecordSchema,
      value: contract,
      author: change,
      baseRevision: change.baseRevision,
    });
  }

  /** Deletes a contract; its history is kept for 30 days. */
  async deleteContract(
    customer: string,
    change: ChangeAuthor & {baseRevision: number},
  ): Promise<StoredRecord<Contract>> {
    return this.applyChange({
      key: contractKey(customer),
      schema: contractRecordSchema,
      value: null,
      keepsEndedValue: true,
      author: change,
      baseRevision: change.baseRevision,
      timeToLiveMs: DELETED_CONTRACT_RETENTION_MS,
    });
  }

  /** Creates or replaces the planned stop of a VM, target or data centre. */
  async planStop(
    input: unknown,
    author: ChangeAuthor,
  ): Promise<StoredRecord<PlannedStop>> {
    const stop = checkValue('planned stop', input, plannedStopSchema);
    const endWallMs = stop.fromWallMs + stop.windowMs;
    const remainingMs = Math.max(0, endWallMs - this.options.clock.wallMs());
    return this.applyChange({
      key: stopKey(stop.name),
      schema: stopRecordSchema,
      value: stop,
      author,
      baseRevision: undefined,
      timeToLiveMs: remainingMs + DAY_MS,
    });
  }

  /** Cancels a planned stop. */
  async cancelStop(
    name: string,
    author: ChangeAuthor,
  ): Promise<StoredRecord<PlannedStop>> {
    return this.applyChange({
      key: stopKey(name),
      schema: stopRecordSchema,
      value: null,
      author,
      baseRevision: undefined,
      timeToLiveMs: DAY_MS,
    });
  }

  /** Reads a contract's record from the platform, even if it is deleted. */
  readContract(customer: string): Promise<StoredRecord<Contract> | undefined> {
    return this.readRecord(contractKey(customer), contractRecordSchema);
  }

  private validateContract(input: unknown): Contract {
    const {store} = this.options;
    return checkContract(input, {
      findCustomerByKeyHash: (hash) => store.findCustomerByKeyHash(hash),
    });
  }

  private async applyChange<T>(
    change: RecordChange<T>,
  ): Promise<StoredRecord<T>> {
    const base = await this.readBase(change);
    const {baseRevision, key, value, author} = change;
    const isMissing = value === null && !base?.record.value;
    const amendsMissingKey = !base && (baseRevision ?? 0) > 0;
    if (isMissing) await this.preventCreation(change, base);
    if (isMissing || amendsMissingKey) throw notFoundError(key);
    if (baseRevision !== undefined && baseRevision !== (base?.revision ?? 0)) {
      throw conflictError(key, base);
    }
    if (author.isDryRun) {
      const record = this.createRecord(change, base);
      return {record, revision: base?.revision ?? 0};
    }
    return this.writeRecord(change, base);
  }

  /**
   * Writes the deletion of a value that does not exist. A write that would
   * create it may be under way, and must not take effect after the answer.
   */
  private async preventCreation<T>(
    change: RecordChange<T>,
    base: StoredRecord<T> | undefined,
  ): Promise<void> {
    if (!change.author.isDryRun) await this.writeRecord(change, base);
  }

  private async writeRecord<T>(
    change: RecordChange<T>,
    base: StoredRecord<T> | undefined,
  ): Promise<StoredRecord<T>> {
    const {key, schema, timeToLiveMs} = change;
    const record = this.createRecord(change, base);
    const result = await this.writer.write({
      key,
      record,
      expectedRevision: base?.revision ?? 0,
      timeToLiveMs,
    });
    if (!result.written) {
      if (result.current) this.options.store.applyChange(result.current);
      throw conflictError(key, parseStoredRecord(result.current, schema));
    }
    this.options.store.applyChange(result.entry);
    return {record, revision: result.entry.revision};
  }

  /**
   * Returns the record that a change is based on, from memory if its revision
   * there is the base revision, otherwise from the platform.
   */
  private async readBase<T>(
    change: RecordChange<T>,
  ): Promise<StoredRecord<T> | undefined> {
    const {key, schema, baseRevision} = change;
    const entry = this.options.store.entry(key);
    const isBaseInMemory = (entry?.revision ?? 0) === baseRevision;
    if (!isBaseInMemory) return this.readRecord(key, schema);
    return entry?.value === undefined
      ? undefined
      : parseStoredRecord({...entry, value: entry.value}, schema);
  }

  private async readRecord<T>(
    key: string,
    schema: z.ZodType<ConfigurationRecord<T>>,
  ): Promise<StoredRecord<T> | undefined> {
    return parseStoredRecord(await this.options.platform.read(key), schema);
  }

  private createRecord<T>(
    change: RecordChange<T>,
    base: StoredRecord<T> | undefined,
  ): ConfigurationRecord<T> {
    const {author, value} = change;
    const baseRecord = base?.record;
    const history: PastChange[] = baseRecord
      ? [{...baseRecord.change, revision: base.revision}, ...baseRecord.history]
      : [];
    const action =
      value === null
        ? ChangeAction.DELETE
        : baseRecord?.value
          ? ChangeAction.AMEND
          : ChangeAction.CREATE;
    const ended = change.keepsEndedValue ? baseRecord?.value : undefined;
    return {
      value,
      ...(ended ? {ended} : {}),
      change: {
        id: randomUUID(),
        operator: author.operator,
        atWallMs: this.options.clock.wallMs(),
        action,
        reason: author.reason ?? '',
        fields: baseRecord ? listFieldChanges(baseRecord.value, value) : [],
      },
      history: history.slice(0, MAX_HISTORY_LENGTH),
    };
  }
}

function parseStoredRecord<T>(
  entry: PlatformEntry | undefined,
  schema: z.ZodType<ConfigurationRecord<T>>,
): StoredRecord<T> | undefined {
  if (!entry) return undefined;
  const record = schema.parse(JSON.parse(entry.value));
  return {record, revision: entry.revision};
}

function notFoundError(key: string): ResultError {
  return new ResultError(
    ResultCodes.NOT_FOUND,
    `Cannot change "${key}": it does not exist`,
  );
}

function conflictError(
  key: string,
  current: StoredRecord<unknown> | undefined,
): ResultError {
  const revision = current?.revision ?? 0;
  return new ResultError(
    ResultCodes.REVISION_CONFLICT,
    `Cannot change "${key}": its revision is now ${revision}`,
    {info: {revision, current: current?.record.value ?? null}},
  );
}
