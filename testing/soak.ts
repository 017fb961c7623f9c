import {join} from 'node:path';

import {defineCommand, runMain} from 'citty';

import {runSoak} from './soak_run.js';
import {DEFAULT_SOAK_FAULTS, SoakFault} from './soak_faults.js';

/** Parses a comma-separated list of fault kinds; empty means the default. */
function parseFaultKinds(text: string): SoakFault[] {
  const known: readonly SoakFault[] = Object.values(SoakFault);
  if (text === '') return [...DEFAULT_SOAK_FAULTS];
  return text.split(',').map((name) => {
    const kind = known.find((other) => other === name);
    if (kind) return kind;
    throw new Error(
      `Unknown fault kind "${name}"; known kinds: ${known.join(', ')}`,
    );
  });
}

const main = defineCommand({
  meta: {
    name: 'soak',
    description: 'Runs the node programs under random faults.',
  },
  args: {
    seed: {type: 'string', description: 'First seed', default: '1'},
    runs: {
      type: 'string',
      description: 'Seeds one after another',
      default: '1',
    },
    seconds: {type: 'string', description: 'Time with faults', default: '20'},
    nodes: {type: 'string', description: 'Node programs', default: '4'},
    logs: {type: 'string', description: 'Folder for logs', default: ''},
    faults: {type: 'string', description: 'Kinds, by commas', default: ''},
  },
  async run({args}) {
    const first = Number(args.seed);
    for (let seed = first; seed < first + Number(args.runs); seed++) {
      const result = await runSoak({
        seed,
        seconds: Number(args.seconds),
        nodes: Number(args.nodes),
        folder: args.logs === '' ? undefined : join(args.logs, String(seed)),
        kinds: parseFaultKinds(args.faults),
      });
      const {schedule, ...figures} = result;
      console.log(JSON.stringify({...figures, faults: schedule.length}));
      if (result.breaches.length === 0) continue;
      process.exitCode = 1;
      for (const fault of schedule) console.log(JSON.stringify(fault));
    }
  },
});

void runMain(main);
