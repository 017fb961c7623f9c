import {OrchestratorEffects} from '../src/orchestrator/orchestrator_effects.js';

/** Creates effects that do nothing; `effects` overrides some of them. */
export function idleEffects(
  effects: Partial<OrchestratorEffects> = {},
): OrchestratorEffects {
  return {
    start: () => undefined,
    stop: () => undefined,
    stopOrphanRun: () => undefined,
    setSpeedLimit: () => undefined,
    requestAdvice: () => undefined,
    publishPhases: () => undefined,
    requestCommit: () => undefined,
    ...effects,
  };
}
