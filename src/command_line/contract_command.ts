import {CommandDef, defineCommand} from 'citty';

import {Contract, contractSchema} from '../contracts/contract.js';
import {
  ConfigurationChange,
  PastChange,
} from '../contracts/configuration_record.js';
import {ExplainedLimit} from '../contracts/explain_contract.js';
import {readSettings} from '../settings/read_settings.js';
import {
  CHANGE_ARGUMENTS,
  buildChangeQuery,
  CLIENT_ARGUMENTS,
  usageError,
} from './common_arguments.js';
import {formatTable} from './format_table.js';
import {OperatorResponse, OperatorRequest} from './operator_client.js';
import {ProgramContext} from './program_context.js';
import {createCallRunner} from './run_call.js';

const CUSTOMER_ARGUMENT = {
  type: 'positional',
  required: true,
  description: 'Name of the customer',
} as const;

const FILE_ARGUMENT = {
  type: 'positional',
  required: true,
  description: 'Contract as JSON with comments',
} as const;

const REVISION_ARGUMENT = {
  type: 'string',
  required: true,
  valueHint: 'NUMBER',
  description: 'Revision that the change is based on, as "show" prints it',
} as const;

const IN_FORCE_ARGUMENTS = {
  'in-force': {
    type: 'boolean',
    default: false,
    description: 'Show what is in force at the entry, without the platform',
  },
  ...CLIENT_ARGUMENTS,
} as const;

function buildShowQuery(
  parsedArguments: {'in-force': boolean},
  fields: Record<string, string> = {},
): string {
  const query = new URLSearchParams(fields);
  if (parsedArguments['in-force']) query.set('source', 'memory');
  return `?${query.toString()}`;
}

function contractPath(customer: string): string {
  return `/v1/contracts/${encodeURIComponent(customer)}`;
}

function createIfMatchHeader(revision: string): Record<string, string> {
  if (!/^[1-9]\d*$/.test(revision)) {
    throw usageError(`--revision: given "${revision}"; allowed: 1 or more`);
  }
  return {'if-match': revision};
}

function formatHistory(response: OperatorResponse): string {
  const history = response['history'] as PastChange[];
  const rows = history.map((change) => [
    change.revision,
    new Date(change.atWallMs).toISOString(),
    change.operator,
    change.action,
    change.fields
      .map(({key, from, to}) => `${key}: ${from ?? '-'} -> ${to ?? '-'}`)
      .join('; ') || '-',
    change.reason || '-',
  ]);
  const header = ['REVISION', 'TIME', 'OPERATOR', 'ACTION', 'FIELDS', 'REASON'];
  return formatTable(header, rows);
}

function formatContract(response: OperatorResponse): string {
  const text = JSON.stringify(response['contract'], undefined, 2);
  const revisionInForce = String(response['revisionInForceHere']);
  return `// revision ${String(response['revision'])}; in force at this entry: ${revisionInForce}\n${text}\n`;
}

function formatContracts(response: OperatorResponse): string {
  const contracts = response['contracts'] as Array<{
    revision: number;
    contract: Contract;
  }>;
  const rows = contracts.map(({revision, contract}) => [
    contract.customer,
    revision,
    contract.share,
    contract.vmShare,
    contract.optimizeFor,
    contract.callers.length,
    contract.services.join(',') || '-',
  ]);
  return formatTable(
    [
      'CUSTOMER',
      'REVISION',
      'SHARE',
      'VMSHARE',
      'OPTIMIZE FOR',
      'CALLERS',
      'SERVICES',
    ],
    rows,
  );
}

function formatExplanation(response: OperatorResponse): string {
  const limits = response['explanation'] as ExplainedLimit[];
  const rows = limits.map((limit) => [
    limit.key,
    limit.value,
    limit.isDefault ? 'default' : 'contract',
    limit.meaning,
  ]);
  return formatTable(['KEY', 'VALUE', 'FROM', 'MEANING'], rows);
}

function formatChange(response: OperatorResponse): string {
  const change = response['change'] as ConfigurationChange;
  const rows = change.fields.map(({key, from, to}) => [key, from, to]);
  const fields = rows.length ? formatTable(['FIELD', 'FROM', 'TO'], rows) : '';
  const outcome = response['isDryRun'] ? 'would be accepted' : 'accepted';
  const revisionLabel = response['isDryRun'] ? 'based on' : 'in effect as';
  return `${change.action} ${outcome}, ${revisionLabel} revision ${String(response['revision'])}\n${fields}`;
}

/** Creates the `contract` command with its subcommands. */
export function contractCommand(context: ProgramContext): CommandDef {
  const runCall = createCallRunner(context);
  const createPutRequest = (
    file: string,
    parsedArguments: {'dry-run': boolean; reason: string},
    headers: Record<string, string>,
  ): OperatorRequest => {
    const contract = readSettings(file, contractSchema);
    const path =
      contractPath(contract.customer) + buildChangeQuery(parsedArguments);
    return {method: 'PUT', path, headers, body: contract};
  };
  const createShowRequest = (
    customer: string,
    query = '',
  ): OperatorRequest => ({
    method: 'GET',
    path: contractPath(customer) + query,
  });
  const create = defineCommand({
    meta: {name: 'create', description: 'Create the contract of a customer'},
    args: {file: FILE_ARGUMENT, ...CHANGE_ARGUMENTS},
    run: ({args}) =>
      runCall(args, {
        request: createPutRequest(args.file, args, {'if-none-match': '*'}),
        format: formatChange,
      }),
  });
  const amend = defineCommand({
    meta: {name: 'amend', description: 'Replace a contract'},
    args: {
      file: FILE_ARGUMENT,
      revision: REVISION_ARGUMENT,
      ...CHANGE_ARGUMENTS,
    },
    run: ({args}) =>
      runCall(args, {
        request: createPutRequest(
          args.file,
          args,
          createIfMatchHeader(args.revision),
        ),
        format: formatChange,
      }),
  });
  const deleteCommand = defineCommand({
    meta: {name: 'delete', description: 'Delete a contract'},
    args: {
      customer: CUSTOMER_ARGUMENT,
      revision: REVISION_ARGUMENT,
      ...CHANGE_ARGUMENTS,
    },
    run: ({args}) => {
      const path = contractPath(args.customer) + buildChangeQuery(args);
      const headers = createIfMatchHeader(args.revision);
      return runCall(args, {
        request: {method: 'DELETE', path, headers},
        format: formatChange,
      });
    },
  });
  const showCommand = defineCommand({
    meta: {name: 'show', description: 'Show a contract and its revision'},
    args: {customer: CUSTOMER_ARGUMENT, ...IN_FORCE_ARGUMENTS},
    run: ({args}) =>
      runCall(args, {
        request: createShowRequest(args.customer, buildShowQuery(args)),
        format: formatContract,
      }),
  });
  const list = defineCommand({
    meta: {name: 'list', description: 'List all contracts'},
    args: CLIENT_ARGUMENTS,
    run: ({args}) =>
      runCall(args, {
        request: {method: 'GET', path: '/v1/contracts'},
        format: formatContracts,
      }),
  });
  const history = defineCommand({
    meta: {name: 'history', description: 'Show the changes of a contract'},
    args: {customer: CUSTOMER_ARGUMENT, ...CLIENT_ARGUMENTS},
    run: ({args}) =>
      runCall(args, {
        request: createShowRequest(args.customer, '?history=true'),
        format: formatHistory,
      }),
  });
  const explain = defineCommand({
    meta: {name: 'explain', description: 'Show the limits of a customer'},
    args: {customer: CUSTOMER_ARGUMENT, ...IN_FORCE_ARGUMENTS},
    run: ({args}) =>
      runCall(args, {
        request: createShowRequest(
          args.customer,
          buildShowQuery(args, {explain: 'true'}),
        ),
        format: formatExplanation,
      }),
  });
  return defineCommand({
    meta: {name: 'contract', description: 'Create, amend and show contracts'},
    subCommands: {
      create,
      amend,
      delete: deleteCommand,
      show: showCommand,
      list,
      history,
      explain,
    },
  });
}
