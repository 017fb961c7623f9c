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

/** Options of {@link ConfigurationChanges}. */
export interface ConfigurationChangesOptions extends ChangeWriterOptions {
  store: ConfigurationStore;
}

/** Who makes a change and why. */
export interface ChangeAuthor {
  operator: string;
  /** @default '' */
  reason?: string;
  /** Checks everything and writes nothing. @default false */
  isDryRun?: boolean;
}

/** A record with its revision. */
export interface StoredRecord<T> {
  record: ConfigurationRecord<T>;
  /** Platform revision; 0 for a dry run of a new key. */
  revision: number;
}

interface Change<T> {
  key: string;
  schema: z.ZodType<ConfigurationRecord<T>>;
  value: T | null;
  author: ChangeAuthor;
  /** Revision that the operator saw; undefined: whatever is there now. */
  baseRevision: number | undefined;
  timeToLiveMs?: number;
}

/** Earlier changes that a record keeps. */
const KEPT_HISTORY = 20;

const DAY_MS = 86_400_000;

/** Time in ms for which the history of a deleted contract is kept. */
const KEEP_DELETED_MS = 30 * DAY_MS;

/** Changes of contracts and planned stops on behalf of operators. */
export class ConfigurationChanges {
  private readonly writer: ChangeWriter;

  constructor(private readonly options: ConfigurationChangesOptions) {
    this.writer = new ChangeWriter(options);
  }

  /**
   * Creates a contract.
   *
   * @throws ResultError REVISION_CONFLICT if the customer has one.
   */
  async createContract(
    input: unknown,
    author: ChangeAuthor,
  ): Promise<StoredRecord<Contract>> {
    const contract = this.check(input);
    const key = contractKey(contract.customer);
    const known = await this.find(key, contractRecordSchema);
    if (known?.record.value) throw conflict(key, known);
    return this.apply({
      key,
      schema: contractRecordSchema,
      value: contract,
      author,
      baseRevision: known?.revision ?? 0,
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
    const contract = this.check(input);
    const key = contractKey(contract.customer);
    return this.apply({
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
    return this.apply({
      key: contractKey(customer),
      schema: contractRecordSchema,
      value: null,
      author: change,
      baseRevision: change.baseRevision,
      timeToLiveMs: KEEP_DELETED_MS,
    });
  }

  /** Plans to stop a VM, target or data centre, or replaces such a plan. */
  async planStop(
    input: unknown,
    author: ChangeAuthor,
  ): Promise<StoredRecord<PlannedStop>> {
    const stop = checkValue('planned stop', input, plannedStopSchema);
    const untilMs = stop.fromWallMs + stop.windowMs;
    const remainingMs = Math.max(0, untilMs - this.options.clock.wallMs());
    return this.apply({
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
    return this.apply({
      key: stopKey(name),
      schema: stopRecordSchema,
      value: null,
      author,
      baseRevision: undefined,
      timeToLiveMs: DAY_MS,
    });
  }

  /** Reads a contract from the platform, also a deleted one. */
  readContract(customer: string): Promise<StoredRecord<Contract> | undefined> {
    return this.find(contractKey(customer), contractRecordSchema);
  }

  private check(input: unknown): Contract {
    const {store} = this.options;
    return checkContract(input, {
      customerOfKeyHash: (hash) => store.customerOfKeyHash(hash),
    });
  }

  private async apply<T>(change: Change<T>): Promise<StoredRecord<T>> {
    const known = await this.findBase(change);
    const {baseRevision, key, value, author} = change;
    const isMissing = value === null && !known?.record.value;
    const isAmendOfNothing = !known && (baseRevision ?? 0) > 0;
    if (isMissing || isAmendOfNothing) throw notFound(key);
    if (baseRevision !== undefined && baseRevision !== (known?.revision ?? 0)) {
      throw conflict(key, known);
    }
    const record = this.newRecord(change, known);
    if (author.isDryRun) return {record, revision: known?.revision ?? 0};
    const result = await this.writer.write({
      key,
      record,
      expectedRevision: known?.revision ?? 0,
      timeToLiveMs: change.timeToLiveMs,
    });
    if (!result.written) {
      if (result.current) this.options.store.applyChange(result.current);
      throw conflict(key, parse(result.current, change.schema));
    }
    this.options.store.applyChange(result.entry);
    return {record, revision: result.entry.revision};
  }

  /** Takes the base from memory if it is the one the operator saw. */
  private async findBase<T>(
    change: Change<T>,
  ): Promise<StoredRecord<T> | undefined> {
    const {key, schema, baseRevision} = change;
    const entry = this.options.store.entry(key);
    const isKnown = (entry?.revision ?? 0) === baseRevision;
    if (!isKnown) return this.find(key, schema);
    return entry?.value === undefined
      ? undefined
      : parse({...entry, value: entry.value}, schema);
  }

  private async find<T>(
    key: string,
    schema: z.ZodType<ConfigurationRecord<T>>,
  ): Promise<StoredRecord<T> | undefined> {
    return parse(await this.options.platform.read(key), schema);
  }

  private newRecord<T>(
    change: Change<T>,
    known: StoredRecord<T> | undefined,
  ): ConfigurationRecord<T> {
    const {author, value} = change;
    const earlier = known?.record;
    const history: PastChange[] = earlier
      ? [{...earlier.change, revision: known.revision}, ...earlier.history]
      : [];
    const action =
      value === null
        ? ChangeAction.DELETE
        : earlier?.value
          ? ChangeAction.AMEND
          : ChangeAction.CREATE;
    return {
      value,
      change: {
        id: randomUUID(),
        operator: author.operator,
        atWallMs: this.options.clock.wallMs(),
        action,
        reason: author.reason ?? '',
        fields: earlier ? listFieldChanges(earlier.value, value) : [],
      },
      history: history.slice(0, KEPT_HISTORY),
    };
  }
}

function parse<T>(
  entry: PlatformEntry | undefined,
  schema: z.ZodType<ConfigurationRecord<T>>,
): StoredRecord<T> | undefined {
  if (!entry) return undefined;
  const record = schema.parse(JSON.parse(entry.value));
  return {record, revision: entry.revision};
}

function notFound(key: string): ResultError {
  return new ResultError(
    ResultCodes.NOT_FOUND,
    `Cannot change "${key}": it does not exist`,
  );
}

function conflict(
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
