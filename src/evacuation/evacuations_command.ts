import {CommandDef, defineCommand} from 'citty';
import {request} from 'undici';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {EvacuationsResponse} from './evacuations_response.js';

/** Where the command writes to; replaced in tests. */
export interface EvacuationsCommandOptions {
  /** Writes to standard output. */
  write: (text: string) => void;
}

/** Longest wait in ms for a node. */
const TIMEOUT_MS = 5000;

/** Creates the command that lists the evacuated data centres. */
export function evacuationsCommand({
  write,
}: EvacuationsCommandOptions): CommandDef {
  return defineCommand({
    meta: {
      name: 'evacuations',
      description: 'List the data centres that operators have evacuated',
    },
    args: {
      address: {
        type: 'string',
        required: true,
        valueHint: 'HOST:PORT',
        description: 'Metrics address of a node; the owner counts tasks',
      },
      json: {type: 'boolean', default: false, description: 'Print JSON'},
    },
    run: async ({args}) => {
      const listed = await fetchEvacuations(args.address);
      write(
        args.json
          ? `${JSON.stringify(listed, undefined, 2)}\n`
          : formatEvacuations(listed),
      );
    },
  }) as CommandDef;
}

async function fetchEvacuations(address: string): Promise<EvacuationsResponse> {
  try {
    const response = await request(`http://${address}/evacuations`, {
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    return (await response.body.json()) as EvacuationsResponse;
  } catch (error) {
    throw new ResultError(
      ResultCodes.NO_OWNER,
      `Cannot ask ${address}: ${(error as Error).message}`,
    );
  }
}

function formatEvacuations(listed: EvacuationsResponse): string {
  const {node, owner, evacuations} = listed;
  const lines = [`node ${node}, owner ${owner ?? 'not known'}`];
  for (const evacuation of evacuations) {
    const {dataCentre, revision, knownSinceWallMs, runningTasks} = evacuation;
    const since = new Date(knownSinceWallMs).toISOString();
    const tasks = runningTasks === undefined ? '' : `, ${runningTasks} tasks`;
    lines.push(`${dataCentre}: since ${since}, revision ${revision}${tasks}`);
  }
  if (evacuations.length === 0) lines.push('no data centre is evacuated');
  return `${lines.join('\n')}\n`;
}
