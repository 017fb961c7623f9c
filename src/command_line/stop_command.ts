import {CommandDef, defineCommand} from 'citty';

import {PlannedStop} from '../contracts/planned_stop.js';
import {
  CHANGE_ARGUMENTS,
  buildChangeQuery,
  CLIENT_ARGUMENTS,
  usageError,
} from './common_arguments.js';
import {formatTable} from './format_table.js';
import {OperatorResponse} from './operator_client.js';
import {ProgramContext} from './program_context.js';
import {createCallRunner} from './run_call.js';

const NAME_ARGUMENT = {
  type: 'positional',
  required: true,
  description: 'Name of the VM, target or data centre',
} as const;

function stopPath(name: string): string {
  return `/v1/stops/${encodeURIComponent(name)}`;
}

function formatStops(response: OperatorResponse): string {
  const stops = response['stops'] as Array<{
    revision: number;
    stop: PlannedStop;
  }>;
  const rows = stops.map(({revision, stop}) => [
    stop.name,
    revision,
    new Date(stop.fromWallMs).toISOString(),
    stop.windowMs,
    stop.reason || '-',
  ]);
  return formatTable(['NAME', 'REVISION', 'FROM', 'WINDOW MS', 'REASON'], rows);
}

function formatChange(response: OperatorResponse): string {
  const outcome = response['isDryRun'] ? 'would be accepted' : 'accepted';
  return `${outcome}, revision ${String(response['revision'])}\n`;
}

function parseStartTime(text: string): number {
  const wallMs = text === 'now' ? Date.now() : Date.parse(text);
  if (Number.isNaN(wallMs)) {
    throw usageError(
      `--from: given "${text}"; allowed: "now" or a time such as 2026-12-04T06:00:00Z`,
    );
  }
  return wallMs;
}

/** Creates the `stop` command with its subcommands for planned stops. */
export function stopCommand(context: ProgramContext): CommandDef {
  const runCall = createCallRunner(context);
  const plan = defineCommand({
    meta: {name: 'plan', description: 'Plan a stop, or replace its plan'},
    args: {
      name: NAME_ARGUMENT,
      from: {
        type: 'string',
        default: 'now',
        valueHint: 'TIME',
        description: 'Time from which it takes no new work',
      },
      'window-ms': {
        type: 'string',
        default: '60000',
        valueHint: 'NUMBER',
        description: 'Time in ms in which running work may finish',
      },
      ...CHANGE_ARGUMENTS,
    },
    run: ({args}) => {
      const path = stopPath(args.name) + buildChangeQuery(args);
      const body = {
        fromWallMs: parseStartTime(args.from),
        windowMs: Number(args['window-ms']),
        reason: args.reason,
      };
      const request = {method: 'PUT', path, body} as const;
      return runCall(args, {request, format: formatChange});
    },
  });
  const cancel = defineCommand({
    meta: {name: 'cancel', description: 'Cancel a planned stop'},
    args: {name: NAME_ARGUMENT, ...CHANGE_ARGUMENTS},
    run: ({args}) => {
      const path = stopPath(args.name) + buildChangeQuery(args);
      const request = {method: 'DELETE', path} as const;
      return runCall(args, {request, format: formatChange});
    },
  });
  const list = defineCommand({
    meta: {name: 'list', description: 'List planned stops'},
    args: CLIENT_ARGUMENTS,
    run: ({args}) => {
      const request = {method: 'GET', path: '/v1/stops'} as const;
      return runCall(args, {request, format: formatStops});
    },
  });
  return defineCommand({
    meta: {
      name: 'stop',
      description: 'Plan stops of VMs, targets and data centres',
    },
    subCommands: {plan, cancel, list},
  });
}
