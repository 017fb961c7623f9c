import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleWorker} from '../../testing/simple_definitions.js';
import {JobState, StepState} from './job_state.js';
import {StepAdvice} from './step_advice.js';
import {WorkerState} from './worker_state.js';

function createStep(id: string): StepState {
  return new JobState(simpleJob(id), 0).occurrence(0).steps[0]!;
}

const createWorker = (id: string): WorkerState =>
  new WorkerState(simpleWorker(id));

const incarnationOf = (): number => 0;

test('a ticket is returned only while it is valid for the incarnation', () => {
  // Guards against starts that a worker rejects because the ticket is missing,
  // about to expire or from an earlier incarnation.
  const advice = new StepAdvice();
  const step = createStep('job');
  const [allowed, denied] = [createWorker('w1'), createWorker('w2')];
  advice.enqueue(step, [allowed, denied]);
  const request = advice.nextRequest(incarnationOf, 0);
  assert.deepEqual(request, {step: 'job.0.0', workers: ['w1', 'w2']});
  const tickets = new Map([['w1', 't1']]);
  advice.handleOutcome({kind: 'advice', tickets, validForMs: 3000}, 0, 50);
  assert.equal(advice.ticketFor(step, allowed, 60), 't1');
  assert.equal(advice.ticketFor(step, denied, 60), undefined);
  assert.equal(advice.ticketFor(step, allowed, 2900), undefined);
  allowed.beginIncarnation(2);
  assert.equal(advice.ticketFor(step, allowed, 60), undefined);
});

test('denied workers are left out of later requests', () => {
  // Guards against requests that cost time without new information.
  const advice = new StepAdvice();
  const step = createStep('job');
  const [allowed, denied] = [createWorker('w1'), createWorker('w2')];
  advice.enqueue(step, [allowed, denied]);
  advice.nextRequest(incarnationOf, 0);
  const tickets = new Map([['w1', 't1']]);
  advice.handleOutcome({kind: 'advice', tickets, validForMs: 100}, 0, 50);
  advice.enqueue(step, [allowed, denied]);
  assert.deepEqual(advice.nextRequest(incarnationOf, 60)?.workers, ['w1']);
});

test('requests are sent one at a time, in order, and delayed by a failure', () => {
  // Guards against an overloaded advice service and against a step for which no
  // request is ever sent.
  const advice = new StepAdvice();
  const worker = createWorker('w1');
  advice.enqueue(createStep('first'), [worker]);
  advice.enqueue(createStep('second'), [worker]);
  assert.equal(advice.nextRequest(incarnationOf, 0)?.step, 'first.0.0');
  assert.equal(advice.nextRequest(incarnationOf, 0), undefined);
  advice.handleOutcome({kind: 'unknown', reason: 'busy'}, 0, 100);
  assert.equal(advice.nextRequest(incarnationOf, 200), undefined);
  assert.equal(advice.nextRequest(incarnationOf, 600)?.step, 'second.0.0');
});
