import {ManualClock} from '../src/clock/manual_clock.js';
import {PartitionKeys} from '../src/leadership/partition_keys.js';
import {
  Orchestrator,
  OrchestratorOptions,
} from '../src/orchestrator/orchestrator.js';
import {idleEffects} from './idle_effects.js';
import {silentLog} from './silent_log.js';
import {simpleConfiguration} from './simple_definitions.js';

/**
 * Creates an orchestrator with one queue, no log and effects that do nothing;
 * `options` overrides the defaults.
 */
export function createOrchestrator(
  options: Partial<OrchestratorOptions> = {},
): Orchestrator {
  const orchestrator = new Orchestrator({
    clock: new ManualClock(),
    log: silentLog(),
    keys: new PartitionKeys('main'),
    longestLeaseMs: 6000,
    keepFinishedMs: 1000,
    previousTermLeaseMs: 0,
    effects: idleEffects(),
    ...options,
  });
  orchestrator.configure(simpleConfiguration());
  return orchestrator;
}
