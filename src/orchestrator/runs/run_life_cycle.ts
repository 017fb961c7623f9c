import {loadStateChart} from '../../state_charts/load_state_chart.js';

/** States of a task; run_life_cycle.json defines the transitions. */
export type RunState =
  | 'waiting'
  | 'assigned'
  | 'inherited'
  | 'starting'
  | 'running'
  | 'stopping'
  | 'done';

/** Events that cause transitions between the states of a task. */
export type RunEvent =
  | 'assigned'
  | 'committed'
  | 'withdrawn'
  | 'inherited'
  | 'confirmed'
  | 'doubted'
  | 'stopRequested'
  | 'ended'
  | 'done';

/** State machine of a task as tracked by the owner of its partition. */
export const runLifeCycle = loadStateChart<RunState, RunEvent>(
  './run_life_cycle.json',
  import.meta.url,
);
