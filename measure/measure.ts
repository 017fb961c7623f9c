import {parseArgs} from 'node:util';

import {Scenario} from './scenario.js';

/** Scenarios by name; each module is loaded only when its scenario runs. */
const SCENARIOS: Readonly<Record<string, () => Promise<Scenario>>> = {
  latency: async () => (await import('./scenarios/latency.js')).runLatency,
  faults: async () => (await import('./scenarios/faults.js')).runFaults,
  flood: async () => (await import('./scenarios/flood.js')).runFlood,
  colocation: async () =>
    (await import('./scenarios/colocation.js')).runColocation,
  tail: async () => (await import('./scenarios/tail.js')).runTail,
  slopes: async () => (await import('./scenarios/slopes.js')).runSlopes,
  configuration: async () =>
    (await import('./scenarios/configuration.js')).runConfiguration,
  takeover: async () => (await import('./scenarios/takeover.js')).runTakeover,
  placement: async () =>
    (await import('./scenarios/placement.js')).runPlacement,
  'owner-load': async () =>
    (await import('./scenarios/owner_load.js')).runOwnerLoad,
  'owner-process': async () =>
    (await import('./scenarios/owner_process.js')).runOwnerProcess,
  'platform-outage': async () =>
    (await import('./scenarios/platform_outage.js')).runPlatformOutage,
};

function exitWithError(text: string): never {
  process.stderr.write(`${text}\n`);
  process.exit(2);
}

function parseNonNegativeInteger(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) {
    exitWithError(
      `Cannot read --${name}: given "${text}"; allowed: an integer of 0 or more`,
    );
  }
  return value;
}

async function main(): Promise<void> {
  const {values, positionals} = parseArgs({
    allowPositionals: true,
    strict: false,
    options: {
      seed: {type: 'string', default: '1'},
      seconds: {type: 'string', default: '20'},
      class: {type: 'string', default: 'batch'},
      workers: {type: 'string'},
      profile: {type: 'string'},
    },
  });
  const name = positionals[0] ?? '';
  const loadScenario = SCENARIOS[name];
  if (!loadScenario) {
    const known = Object.keys(SCENARIOS).sort().join(', ');
    exitWithError(`Cannot measure "${name}": known scenarios are ${known}`);
  }
  const flags = Object.fromEntries(
    Object.entries(values).map(([key, value]) => [key, String(value)]),
  );
  const seed = parseNonNegativeInteger('seed', flags['seed']!);
  const scenario = await loadScenario();
  const result = await scenario({
    seed,
    seconds: parseNonNegativeInteger('seconds', flags['seconds']!),
    flags,
    progress: (text) => process.stderr.write(`${text}\n`),
  });
  const line = JSON.stringify({scenario: name, seed, ...result});
  process.stdout.write(`${line}\n`, () => process.exit(0));
}

await main();
