import {IncomingHttpHeaders} from 'node:http';

import {contractKey, stopKey} from '../contracts/configuration_key.js';
import {
  ChangeAuthor,
  ConfigurationChanges,
  StoredRecord,
} from '../contracts/configuration_changes.js';
import {ConfigurationStore} from '../contracts/configuration_store.js';
import {explainContract} from '../contracts/explain_contract.js';
import {DecisionLog} from '../logging/decision_log.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link OperatorHandlers}. */
export interface OperatorHandlersOptions {
  store: ConfigurationStore;
  changes: ConfigurationChanges;
  decisions: Pick<DecisionLog, 'decisionsAbout'>;
  /** Number of living entries of this data centre. */
  livingEntries: () => number;
  /** State of the process beyond its configuration. @default {} */
  status?: () => object;
}

/** A request of an operator. */
export interface OperatorCall {
  /** Name in the path: customer, VM or request. */
  name: string;
  query: URLSearchParams;
  headers: IncomingHttpHeaders;
  /** Name of the operator; set for changes. */
  operator?: string;
  body?: unknown;
}

/** What the operators' routes do. */
export class OperatorHandlers {
  constructor(private readonly options: OperatorHandlersOptions) {}

  listContracts(): object {
    const {store} = this.options;
    const contracts = [...store.contracts()]
      .sort((a, b) => (a.customer < b.customer ? -1 : 1))
      .map((contract) => ({
        revision: store.entry(contractKey(contract.customer))?.revision,
        contract,
      }));
    return {contracts, ...this.freshness()};
  }

  /** Reads from the platform, so that a change in doubt can be looked up. */
  async showContract({name, query}: OperatorCall): Promise<object> {
    const {changes, store, livingEntries} = this.options;
    const isLocal = query.get('source') === 'memory';
    const stored = isLocal ? undefined : await changes.readContract(name);
    const contract = isLocal ? store.contract(name) : stored?.record.value;
    const history = stored && [
      {...stored.record.change, revision: stored.revision},
      ...stored.record.history,
    ];
    const isHistoryAsked = query.has('history') && history !== undefined;
    if (!contract && !isHistoryAsked) throw notFound('contract', name);
    const key = contractKey(name);
    return {
      customer: name,
      revision: stored?.revision ?? store.entry(key)?.revision,
      revisionInForceHere: store.entry(key)?.revision ?? 0,
      contract: contract ?? null,
      ...(isHistoryAsked && {history}),
      ...(query.has('explain') &&
        contract && {explanation: explainContract(contract, livingEntries())}),
      ...this.freshness(),
    };
  }

  async putContract(call: OperatorCall): Promise<object> {
    const {changes} = this.options;
    const {name, headers, body} = call;
    const customer = (body as {customer?: unknown} | null)?.customer;
    if (customer !== name) {
      throw badRequest(
        `customer: given ${JSON.stringify(customer)}; allowed: "${name}" as in the path`,
      );
    }
    const author = authorOf(call);
    if (headers['if-none-match'] === '*') {
      return changed(await changes.createContract(body, author), author);
    }
    const change = {...author, baseRevision: baseRevisionOf(call)};
    return changed(await changes.amendContract(body, change), author);
  }

  async deleteContract(call: OperatorCall): Promise<object> {
    const author = authorOf(call);
    const change = {...author, baseRevision: baseRevisionOf(call)};
    const {changes} = this.options;
    return changed(await changes.deleteContract(call.name, change), author);
  }

  listStops(): object {
    const {store} = this.options;
    const stops = [...store.plannedStops()].map((stop) => ({
      revision: store.entry(stopKey(stop.name))?.revision,
      stop,
    }));
    return {stops, ...this.freshness()};
  }

  async planStop(call: OperatorCall): Promise<object> {
    const author = authorOf(call);
    const stop = {...(call.body as object), name: call.name};
    return changed(await this.options.changes.planStop(stop, author), author);
  }

  async cancelStop(call: OperatorCall): Promise<object> {
    const author = authorOf(call);
    const {changes} = this.options;
    return changed(await changes.cancelStop(call.name, author), author);
  }

  status(): object {
    const {store, status, livingEntries} = this.options;
    return {
      ...this.freshness(),
      unreadableKeys: store.unreadableKeys,
      livingEntries: livingEntries(),
      ...status?.(),
    };
  }

  why({name}: OperatorCall): object {
    const decisions = this.options.decisions.decisionsAbout(name);
    if (decisions.length === 0) throw notFound('decision about', name);
    return {subject: name, decisions};
  }

  private freshness(): object {
    const {store} = this.options;
    const ageMs = store.isReady ? Math.round(store.ageMs()) : null;
    return {configurationRevision: store.revision, configurationAgeMs: ageMs};
  }
}

function authorOf({operator, query}: OperatorCall): ChangeAuthor {
  return {
    operator: operator ?? '',
    reason: query.get('reason') ?? '',
    isDryRun: query.has('dryRun'),
  };
}

function baseRevisionOf({headers}: OperatorCall): number {
  const given = headers['if-match'];
  const revision = Number(given?.replaceAll('"', ''));
  if (given === undefined || !Number.isInteger(revision) || revision < 1) {
    throw badRequest(
      `if-match: given ${JSON.stringify(given ?? null)}; allowed: the revision that the change is based on, or "if-none-match: *" to create`,
    );
  }
  return revision;
}

function changed(stored: StoredRecord<unknown>, author: ChangeAuthor): object {
  const {record, revision} = stored;
  return {
    revision,
    value: record.value,
    change: record.change,
    isDryRun: author.isDryRun ?? false,
  };
}

function badRequest(text: string): ResultError {
  return new ResultError(ResultCodes.BAD_REQUEST, `Cannot accept: ${text}`);
}

function notFound(what: string, name: string): ResultError {
  return new ResultError(
    ResultCodes.NOT_FOUND,
    `Cannot find ${what} "${name}" here`,
  );
}
