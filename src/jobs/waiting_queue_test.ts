import assert from 'node:assert/strict';
import {test} from 'node:test';

import {Urgency} from '../contracts/urgency.js';
import {WaitingEntry, WaitingQueue} from './waiting_queue.js';

function entry(
  taskId: string,
  fields: Partial<WaitingEntry> = {},
): WaitingEntry {
  const urgency = Urgency.BATCH;
  return {taskId, customer: 'a', urgency, sinceMs: 0, cost: 1, ...fields};
}

function order(queue: WaitingQueue, nowMs = 0): string[] {
  const taken: string[] = [];
  queue.dispatch(nowMs, ({taskId}) => taken.push(taskId) > 0);
  return taken;
}

test('many tasks of one customer do not delay another customer', () => {
  // Guards against service in order of arrival, which starves small customers.
  const shareOf = (customer: string): number => (customer === 'b' ? 2 : 1);
  const queue = new WaitingQueue({shareOf});
  for (let index = 0; index < 6; index++) queue.add(entry(`a${index}`));
  for (let index = 0; index < 4; index++) {
    queue.add(entry(`b${index}`, {customer: 'b'}));
  }
  const first = order(queue).slice(0, 6);
  assert.equal(first.filter((taskId) => taskId.startsWith('b')).length, 4);
});

test('urgent work goes first, and waiting work rises by a class', () => {
  // Guards against starvation of batch work while more urgent work keeps
  // arriving.
  const queue = new WaitingQueue({agingMs: 100});
  queue.add(entry('old'));
  queue.add(entry('new', {urgency: Urgency.URGENT, sinceMs: 1000}));
  assert.deepEqual(order(queue, 1000), ['old', 'new']);
  queue.add(entry('batch', {sinceMs: 1000}));
  queue.add(entry('urgent', {urgency: Urgency.URGENT, sinceMs: 1000}));
  assert.deepEqual(order(queue, 1000), ['urgent', 'batch']);
});

test('counts and offers tasks correctly after removal and rejection', () => {
  // Guards against cancelled tasks that still count towards maxWaiting, and
  // against losing tasks that could not be placed immediately.
  const queue = new WaitingQueue();
  for (const taskId of ['x', 'y', 'z']) queue.add(entry(taskId));
  queue.remove('y');
  assert.equal(queue.waitingOf('a', Urgency.BATCH), 2);
  queue.dispatch(0, () => false);
  assert.deepEqual(order(queue), ['x', 'z']);
  assert.equal(queue.waitingOf('a', Urgency.BATCH), 0);
});
