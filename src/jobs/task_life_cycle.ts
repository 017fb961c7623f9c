import {createRequire} from 'node:module';

import {StateChart, StateChartDefinition} from '../state_charts/state_chart.js';

/** States of a task; transitions are defined in task_life_cycle.json. */
export type TaskLifeState =
  | 'submitted'
  | 'inherited'
  | 'waiting'
  | 'starting'
  | 'running'
  | 'checkpointing'
  | 'stopping'
  | 'recording'
  | 'ended';

/** Events that cause transitions between the states of a task. */
export type TaskLifeEvent =
  | 'stored'
  | 'foundRunning'
  | 'settled'
  | 'placed'
  | 'confirmed'
  | 'notStarted'
  | 'evicted'
  | 'checkpointed'
  | 'stopped'
  | 'cancelled'
  | 'gaveUp'
  | 'finished'
  | 'written';

const definition = createRequire(import.meta.url)(
  './task_life_cycle.json',
) as StateChartDefinition;

/** State machine of a task, as tracked by the owner of its shard. */
export const taskLifeCycle = new StateChart<TaskLifeState, TaskLifeEvent>(
  definition,
);
