import {createRequire} from 'node:module';

import {StateChart, StateChartDefinition} from '../state_charts/state_chart.js';

/** States of a task; see task_life_cycle.json. */
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

/** Events that move a task from one state to the next. */
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

/** Life cycle of a task as its owner sees it. */
export const taskLifeCycle = new StateChart<TaskLifeState, TaskLifeEvent>(
  definition,
);
