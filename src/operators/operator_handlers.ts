import {IncomingHttpHeaders} from 'node:http';

import {contractKey, stopKey} from '../contracts/configuration_key.js';
import {
  ChangeAuthor,
  ConfigurationEditor,
  StoredRecord,
} from '../contracts/configuration_editor.js';
import {ConfigurationStore} from '../contracts/configuration_store.js';
import {explainContract} from '../contracts/explain_contract.js';
import {DecisionLog} from '../logging/decision_log.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Options of {@link OperatorHandlers}. */
export interface OperatorHandlersOptions {
  store: ConfigurationStore;
  editor: ConfigurationEditor;
  decisions: Pick<DecisionLog, 'getDecisions'>;
  /** Number of live entries of this data centre. */
  livingEntries: () => number;
  /** Returns further fields of the status response. @default {} */
  status?: () => object;
}

/** An operator's request. */
export interface OperatorCall {
  /** Last segment of the path: name of a customer or VM, or ID of a request. */
  name: string;
  query: URLSearchParams;
  headers: IncomingHttpHeaders;
  /** Name of the operator; set for changes. */
  operator?: string;
  body?: unknown;
}

/**
 * Handlers of the operators' HTTP routes; each returns the fields of the
 * response body.
 */
export class OperatorHandlers {
  constructor(private readonly options: OperatorHandlersOptions) {}

  /** Lists the contracts in effect here, by customer. */
  listContracts(): object {
    const {store} = this.options;
    const contracts = [...store.contracts()]
      .sort((a, b) => (a.customer < b.customer ? -1 : 1))
      .map((contract) => ({
        revision: store.entry(contractKey(contract.customer))?.revision,
        contract,
      }));
    return {contracts, ...this.configurationState()};
  }

  /**
   * Returns a contract. Reads it from the platform, so that the outcome of a
   * change in doubt can be checked, unless the query has `source=memory`.
   */
  async showContract({name, query}: OperatorCall): Promise<object> {
    const {editor, store, livingEntries} = this.options;
    const isFromMemory = query.get('source') === 'memory';
    const stored = isFromMemory ? undefined : await editor.readContract(name);
    const contract = isFromMemory ? store.contract(name) : stored?.record.value;
    const history = stored && [
      {...stored.record.change, revision: stored.revision},
      ...stored.record.history,
    ];
    const includesHistory = query.has('history') && history !== undefined;
    if (!contract && !includesHistory) throw notFoundError('contract', name);
    const key = contractKey(name);
    return {
      customer: name,
      revision: stored?.revision ?? store.entry(key)?.revision,
      revisionInForceHere: store.entry(key)?.revision ?? 0,
      contract: contract ?? null,
      ...(includesHistory && {history}),
      ...(query.has('explain') &&
        contract && {explanation: explainContract(contract, livingEntries())}),
      ...this.configurationState(),
    };
  }

  /** Creates a contract, or replaces the revision that `if-match` names. */
  async putContract(call: OperatorCall): Promise<object> {
    const {editor} = this.options;
    const {name, headers, body} = call;
    const customer = (body as {customer?: unknown} | null)?.customer;
    if (customer !== name) {
      throw badRequestError(
        `customer: given ${JSON.stringify(customer)}; allowed: "${name}" as in the path`,
      );
    }
    const author = parseAuthor(call);
    if (headers['if-none-match'] === '*') {
      return toChangeResponse(
        await editor.createContract(body, author),
        author,
      );
    }
    const change = {...author, baseRevision: parseBaseRevision(call)};
    return toChangeResponse(await editor.amendContract(body, change), author);
  }

  /** Deletes the revision of a contract that `if-match` names. */
  async deleteContract(call: OperatorCall): Promise<object> {
    const author = parseAuthor(call);
    const change = {...author, baseRevision: parseBaseRevision(call)};
    const {editor} = this.options;
    return toChangeResponse(
      await editor.deleteContract(call.name, change),
      author,
    );
  }

  /** Lists the planned stops in effect here. */
  listStops(): object {
    const {store} = this.options;
    const stops = [...store.plannedStops()].map((stop) => ({
      revision: store.entry(stopKey(stop.name))?.revision,
      stop,
    }));
    return {stops, ...this.configurationState()};
  }

  /** Creates or replaces a planned stop. */
  async planStop(call: OperatorCall): Promise<object> {
    const author = parseAuthor(call);
    const stop = {...(call.body as object), name: call.name};
    return toChangeResponse(
      await this.options.editor.planStop(stop, author),
      author,
    );
  }

  /** Cancels a planned stop. */
  async cancelStop(call: OperatorCall): Promise<object> {
    const author = parseAuthor(call);
    const {editor} = this.options;
    return toChangeResponse(await editor.cancelStop(call.name, author), author);
  }

  /** Returns the state of this process. */
  status(): object {
    const {store, status, livingEntries} = this.options;
    return {
      ...this.configurationState(),
      unreadableKeys: store.unreadableKeys,
      livingEntries: livingEntries(),
      ...status?.(),
    };
  }

  /** Returns the recorded decisions about a request or job. */
  why({name}: OperatorCall): object {
    const decisions = this.options.decisions.getDecisions(name);
    if (decisions.length === 0) throw notFoundError('decision about', name);
    return {subject: name, decisions};
  }

  private configurationState(): object {
    const {store} = this.options;
    const ageMs = store.isReady ? Math.round(store.ageMs()) : null;
    return {configurationRevision: store.revision, configurationAgeMs: ageMs};
  }
}

function parseAuthor({operator, query}: OperatorCall): ChangeAuthor {
  return {
    operator: operator ?? '',
    reason: query.get('reason') ?? '',
    isDryRun: query.has('dryRun'),
  };
}

function parseBaseRevision({headers}: OperatorCall): number {
  const ifMatch = headers['if-match'];
  const revision = Number(ifMatch?.replaceAll('"', ''));
  if (ifMatch === undefined || !Number.isInteger(revision) || revision < 1) {
    throw badRequestError(
      `if-match: given ${JSON.stringify(ifMatch ?? null)}; allowed: the revision that the change is based on, or "if-none-match: *" to create`,
    );
  }
  return revision;
}

function toChangeResponse(
  stored: StoredRecord<unknown>,
  author: ChangeAuthor,
): object {
  const {record, revision} = stored;
  return {
    revision,
    value: record.value,
    change: record.change,
    isDryRun: author.isDryRun ?? false,
  };
}

function badRequestError(text: string): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot accept request: ${text}`,
  );
}

function notFoundError(itemKind: string, name: string): ResultError {
  return new ResultError(
    ResultCodes.NOT_FOUND,
    `Cannot find ${itemKind} "${name}" here`,
  );
}
