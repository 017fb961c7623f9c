import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {sleep} from '../src/clock/sleep.js';
import {ManagedProcess} from '../testing/managed_process.js';
import {freePorts} from '../testing/free_ports.js';
import {callControl} from '../testing/stand_in_control.js';
import {TargetFaults} from '../testing/target_stand_in.js';

/** Options of {@link startTargetFleet}. */
export interface TargetFleetOptions {
  /** Number of targets. */
  count: number;
  /** Work time in ms of a request that does not specify one. */
  workMs: number;
}

/** Simulated targets that run in a separate process. */
export interface TargetFleet {
  /** HTTP origin of each target by its name. */
  origins: ReadonlyMap<string, string>;
  /** Replaces the faults that a target simulates. */
  setFaults(target: string, faults: TargetFaults): Promise<void>;
  /** Returns the number of violated guarantees that the targets counted. */
  violations(): Promise<number>;
  stop(): Promise<void>;
}

const MAX_START_ATTEMPTS = 100;

/**
 * Starts simulated targets in a separate process, so that their work does not
 * delay the router, and waits until they respond.
 */
export async function startTargetFleet(
  options: TargetFleetOptions,
): Promise<TargetFleet> {
  const {count, workMs} = options;
  const [controlPort, ...ports] = await freePorts(count + 1);
  const targets = ports.map((port, index) => ({target: `t${index}`, port}));
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-measure-'));
  const child = new ManagedProcess({
    name: 'targets',
    script: 'build/testing/targets_process.js',
    arguments: [JSON.stringify({controlPort, workMs, targets})],
    logFile: join(folder, 'targets.log'),
  });
  child.start();
  await waitUntilReady(controlPort!);
  return {
    origins: new Map(
      targets.map(({target, port}) => [target, `http://127.0.0.1:${port}`]),
    ),
    setFaults: async (target, faults) => {
      await callControl(controlPort!, {target, faults});
    },
    violations: async () => {
      const report = await callControl(controlPort!);
      const counts = Object.values(report['violations'] as object) as number[];
      return counts.reduce((sum, value) => sum + value, 0);
    },
    stop: () => child.kill(),
  };
}

async function waitUntilReady(controlPort: number): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    try {
      await callControl(controlPort);
      return;
    } catch (error) {
      if (attempt >= MAX_START_ATTEMPTS) throw error;
      await sleep(50);
    }
  }
}
