import {QueueTable} from '../src/orchestrator/jobs/queue_table.js';
import {simpleConfiguration} from './simple_definitions.js';

/** Creates a table with the queue of {@link simpleConfiguration}. */
export function createQueueTable(): QueueTable {
  const table = new QueueTable();
  table.configure(simpleConfiguration().queues);
  return table;
}
