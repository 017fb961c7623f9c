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
  changeQuery,
  CLIENT_ARGUMENTS,
  usageError,
} from './common_arguments.js';
import {formatTable} from './format_table.js';
import {OperatorAnswer, OperatorRequest} from './operator_client.js';
import {ProgramContext} from './program_context.js';
import {createCallRunner} from './run_call.js';

const CUSTOMER = {
  type: 'positional',
  required: true,
  description: 'Name of the customer',
} as const;

const FILE = {
  type: 'positional',
  required: true,
  description: 'Contract as JSON with comments',
} as const;

const REVISION = {
  type: 'string',
  required: true,
  valueHint: 'NUMBER',
  description: 'Revision that the change is based on, as "show" prints it',
} as const;

function pathOf(customer: string): string {
  return `/v1/contracts/${encodeURIComponent(customer)}`;
}

function ifMatch(revision: string): Record<string, string> {
  if (!/^[1-9]\d*$/.test(revision)) {
    throw usageError(`--revision: given "${revision}"; allowed: 1 or more`);
  }
  return {'if-match': revision};
}

function formatHistory(answer: OperatorAnswer): string {
  const history = answer['history'] as PastChange[];
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
  const head = ['REVISION', 'TIME', 'OPERATOR', 'ACTION', 'FIELDS', 'REASON'];
  return formatTable(head, rows);
}

function formatContract(answer: OperatorAnswer): string {
  const text = JSON.stringify(answer['contract'], undefined, 2);
  const here = String(answer['revisionInForceHere']);
  return `// revision ${String(answer['revision'])}; in force at this entry: ${here}\n${text}\n`;
}

function formatContracts(answer: OperatorAnswer): string {
  const contracts = answer['contracts'] as Array<{
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

function formatExplanation(answer: OperatorAnswer): string {
  const limits = answer['explanation'] as ExplainedLimit[];
  const rows = limits.map((limit) => [
    limit.key,
    limit.value,
    limit.isDefault ? 'default' : 'contract',
    limit.meaning,
  ]);
  return formatTable(['KEY', 'VALUE', 'FROM', 'MEANING'], rows);
}

function formatChange(answer: OperatorAnswer): string {
  const change = answer['change'] as ConfigurationChange;
  const rows = change.fields.map(({key, from, to}) => [key, from, to]);
  const fields = rows.length ? formatTable(['FIELD', 'FROM', 'TO'], rows) : '';
  const verb = answer['isDryRun'] ? 'would be accepted' : 'accepted';
  const revision = answer['isDryRun'] ? 'based on' : 'in effect as';
  return `${change.action} ${verb}, ${revision} revision ${String(answer['revision'])}\n${fields}`;
}

/** Commands on contracts. */
export function contractCommand(context: ProgramContext): CommandDef {
  const run = createCallRunner(context);
  const put = (
    file: string,
    given: {'dry-run': boolean; reason: string},
    headers: Record<string, string>,
  ): OperatorRequest => {
    const contract = readSettings(file, contractSchema);
    const path = pathOf(contract.customer) + changeQuery(given);
    return {method: 'PUT', path, headers, body: contract};
  };
  const show = (customer: string, query = ''): OperatorRequest => ({
    method: 'GET',
    path: pathOf(customer) + query,
  });
  const create = defineCommand({
    meta: {name: 'create', description: 'Create the contract of a customer'},
    args: {file: FILE, ...CHANGE_ARGUMENTS},
    run: ({args}) =>
      run(args, {
        request: put(args.file, args, {'if-none-match': '*'}),
        format: formatChange,
      }),
  });
  const amend = defineCommand({
    meta: {name: 'amend', description: 'Replace a contract'},
    args: {file: FILE, revision: REVISION, ...CHANGE_ARGUMENTS},
    run: ({args}) =>
      run(args, {
        request: put(args.file, args, ifMatch(args.revision)),
        format: formatChange,
      }),
  });
  const remove = defineCommand({
    meta: {name: 'delete', description: 'Delete a contract'},
    args: {customer: CUSTOMER, revision: REVISION, ...CHANGE_ARGUMENTS},
    run: ({args}) => {
      const path = pathOf(args.customer) + changeQuery(args);
      const headers = ifMatch(args.revision);
      return run(args, {
        request: {method: 'DELETE', path, headers},
        format: formatChange,
      });
    },
  });
  const showCommand = defineCommand({
    meta: {name: 'show', description: 'Show a contract and its revision'},
    args: {customer: CUSTOMER, ...CLIENT_ARGUMENTS},
    run: ({args}) =>
      run(args, {request: show(args.customer), format: formatContract}),
  });
  const list = defineCommand({
    meta: {name: 'list', description: 'List all contracts'},
    args: CLIENT_ARGUMENTS,
    run: ({args}) =>
      run(args, {
        request: {method: 'GET', path: '/v1/contracts'},
        format: formatContracts,
      }),
  });
  const history = defineCommand({
    meta: {name: 'history', description: 'Show the changes of a contract'},
    args: {customer: CUSTOMER, ...CLIENT_ARGUMENTS},
    run: ({args}) =>
      run(args, {
        request: show(args.customer, '?history=true'),
        format: formatHistory,
      }),
  });
  const explain = defineCommand({
    meta: {name: 'explain', description: 'Show the limits of a customer'},
    args: {customer: CUSTOMER, ...CLIENT_ARGUMENTS},
    run: ({args}) =>
      run(args, {
        request: show(args.customer, '?explain=true'),
        format: formatExplanation,
      }),
  });
  return defineCommand({
    meta: {name: 'contract', description: 'Create, amend and show contracts'},
    subCommands: {
      create,
      amend,
      delete: remove,
      show: showCommand,
      list,
      history,
      explain,
    },
  });
}
