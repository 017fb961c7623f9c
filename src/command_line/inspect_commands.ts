import {CommandDef, defineCommand} from 'citty';

import {CLIENT_ARGUMENTS} from './common_arguments.js';
import {formatTable} from './format_table.js';
import {OperatorResponse} from './operator_client.js';
import {ProgramContext} from './program_context.js';
import {createCallRunner} from './run_call.js';

interface DecisionSummary {
  kind: string;
  chosen?: string;
  reason: string;
  code?: {name: string};
}

const ENVELOPE_FIELDS = new Set([
  'code',
  'name',
  'outcome',
  'meaning',
  'requestId',
]);

function formatFields(response: OperatorResponse): string {
  const rows = Object.entries(response)
    .filter(([key]) => !ENVELOPE_FIELDS.has(key))
    .map(([key, value]) => [
      key,
      typeof value === 'string' ? value : JSON.stringify(value),
    ]);
  return formatTable(['KEY', 'VALUE'], rows);
}

function formatDecisions(response: OperatorResponse): string {
  const decisions = response['decisions'] as DecisionSummary[];
  const rows = decisions.map(({kind, chosen, reason, code}) => [
    kind,
    chosen,
    code?.name,
    reason,
  ]);
  return formatTable(['DECISION', 'CHOSEN', 'RESULT', 'REASON'], rows);
}

/** Creates the command that shows the state of an entry. */
export function statusCommand(context: ProgramContext): CommandDef {
  const runCall = createCallRunner(context);
  return defineCommand({
    meta: {name: 'status', description: 'Show the state of an entry'},
    args: CLIENT_ARGUMENTS,
    run: ({args}) => {
      const request = {method: 'GET', path: '/v1/status'} as const;
      return runCall(args, {request, format: formatFields});
    },
  }) as CommandDef;
}

/** Creates the command that shows the decisions about a request or job. */
export function whyCommand(context: ProgramContext): CommandDef {
  const runCall = createCallRunner(context);
  return defineCommand({
    meta: {
      name: 'why',
      description: 'Show the decisions about a request or job',
    },
    args: {
      id: {
        type: 'positional',
        required: true,
        description: 'Id of the request or job',
      },
      ...CLIENT_ARGUMENTS,
    },
    run: ({args}) => {
      const path = `/v1/why/${encodeURIComponent(args.id)}`;
      const request = {method: 'GET', path, triesAllEntries: true} as const;
      return runCall(args, {request, format: formatDecisions});
    },
  }) as CommandDef;
}

/** Creates the `job` command with its subcommands. */
export function jobCommand(context: ProgramContext): CommandDef {
  const runCall = createCallRunner(context);
  const createJobCommand = (
    method: 'GET' | 'DELETE',
    meta: {name: string; description: string},
  ): CommandDef =>
    defineCommand({
      meta,
      args: {
        id: {type: 'positional', required: true, description: 'Id of the job'},
        ...CLIENT_ARGUMENTS,
      },
      run: ({args}) => {
        const path = `/v1/jobs/${encodeURIComponent(args.id)}`;
        return runCall(args, {request: {method, path}, format: formatFields});
      },
    }) as CommandDef;
  return defineCommand({
    meta: {name: 'job', description: 'Show and cancel jobs'},
    subCommands: {
      show: createJobCommand('GET', {name: 'show', description: 'Show a job'}),
      cancel: createJobCommand('DELETE', {
        name: 'cancel',
        description: 'Cancel a job',
      }),
    },
  });
}
