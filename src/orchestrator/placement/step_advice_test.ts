import assert from 'node:assert/strict';
import {test} from 'node:test';

import {simpleJob, simpleWorker} from '../../../testing/simple_definitions.js';
import {JobState, StepState} from '../jobs/job_state.js';
import {StepAdvice} from './step_advice.js';
import {WorkerState} from '../workers/worker_state.js';

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

/** Returns how many workers each request names if the service takes `perWorkerMs`. */
function requestSizes(options: {
  perWorkerMs: number;
  validForMs: number;
  timeoutMs?: number;
}): number[] {
  const {perWorkerMs, validForMs, timeoutMs = Infinity} = options;
  const advice = new StepAdvice();
  const step = createStep('job');
  const workers = Array.from({length: 40}, (_, n) => createWorker(`w${n}`));
  const sizes: number[] = [];
  let nowMs = 0;
  for (let round = 0; round < 8; round++) {
    advice.enqueue(step, workers);
    const request = advice.nextRequest(incarnationOf, nowMs);
    const size = request!.workers.length;
    sizes.push(size);
    const sentMs = nowMs;
    const tookMs = Math.min(size * perWorkerMs, timeoutMs);
    nowMs += tookMs;
    const tickets = new Map(request!.workers.map((id) => [id, 'ticket']));
    advice.handleOutcome(
      tookMs === timeoutMs
        ? {kind: 'unknown', reason: 'timeout'}
        : {kind: 'advice', tickets, validForMs},
      sentMs,
      nowMs,
    );
    if (advice.ticketFor(step, workers[0]!, nowMs)) break;
    nowMs += 1000;
  }
  return sizes;
}

test('requests get smaller until their tickets are valid on arrival', () => {
  // Guards against a step that never runs because each answer takes longer than
  // its tickets are valid, or than a request may take.
  const slow = {perWorkerMs: 200, validForMs: 3000};
  assert.deepEqual(requestSizes(slow), [30, 15, 7]);
  assert.deepEqual(requestSizes({...slow, timeoutMs: 5000}), [30, 15, 7]);
  assert.deepEqual(requestSizes({perWorkerMs: 5, validForMs: 3000}), [30]);
});

test('a request about few workers does not limit the next ones', () => {
  // Guards against a search of all workers that is split into many requests.
  const advice = new StepAdvice();
  const step = createStep('job');
  advice.enqueue(step, [createWorker('w')]);
  advice.nextRequest(incarnationOf, 0);
  const tickets = new Map<string, string>();
  advice.handleOutcome({kind: 'advice', tickets, validForMs: 3000}, 0, 10);
  const workers = Array.from({length: 40}, (_, n) => createWorker(`w${n}`));
  advice.enqueue(step, workers);
  assert.equal(advice.nextRequest(incarnationOf, 20)?.workers.length, 30);
});

test('a ticket of short validity is used', () => {
  // Guards against a margin before the expiry that is longer than the validity.
  const sizes = requestSizes({perWorkerMs: 1, validForMs: 400});
  assert.deepEqual(sizes, [30]);
});
