import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';

import {URGENCIES, Urgency} from '../contracts/urgency.js';
import {Resources} from '../workers/resources.js';
import {BestFit} from './best_fit.js';
import {FirstFit} from './first_fit.js';
import {HeadroomFit} from './headroom_fit.js';
import {PlacementPolicy} from './placement_policy.js';
import {CommittedTask, PlacementRequest} from './placement_request.js';

const WORKERS = 12;
const RUNS = {seed: 4711, numRuns: 150};

const resources = fc.record({
  processors: fc.integer({min: 0, max: 80}).map((tenths) => tenths / 10),
  memoryMegabytes: fc.integer({min: 0, max: 16_000}),
  accelerators: fc.constantFrom(0, 0, 0, 1, 2),
});

const step = fc.record({
  action: fc.constantFrom('start', 'start', 'start', 'end', 'accept', 'resize'),
  pick: fc.nat(1000),
  resources,
  urgency: fc.constantFrom(...URGENCIES),
  group: fc.constantFrom(undefined, undefined, 'watcher'),
  value: fc.integer({min: 0, max: 5}),
});
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

/** Reference model that uses lists instead of indexes and running sums. */
class NaiveModel {
  readonly capacities = new Map<string, Resources>();
  readonly accepting = new Set<string>();
  tasks: CommittedTask[] = [];

  free(worker: string): Resources {
    const sum = {...this.capacities.get(worker)!};
    for (const task of this.tasks) {
      if (task.worker !== worker) continue;
      sum.processors -= task.resources.processors;
      sum.memoryMegabytes -= task.resources.memoryMegabytes;
      sum.accelerators -= task.resources.accelerators;
    }
    return sum;
  }

  fits(worker: string, need: Resources): boolean {
    return covers(this.free(worker), need);
  }

  anyFits(need: Resources): boolean {
    return [...this.accepting].some((worker) => this.fits(worker, need));
  }
}

function covers(free: Resources, need: Resources): boolean {
  return (
    free.processors >= need.processors - 1e-6 &&
    free.memoryMegabytes >= need.memoryMegabytes &&
    free.accelerators >= need.accelerators
  );
}

function start(policy: PlacementPolicy, model: NaiveModel): void {
  for (let i = 0; i < WORKERS; i++) {
    const accelerators = i % 4 === 0 ? 2 : 0;
    const capacity = {processors: 16, memoryMegabytes: 30_000, accelerators};
    policy.addWorker({worker: `w${i}`, rack: `r${i % 3}`, capacity});
    model.capacities.set(`w${i}`, capacity);
    model.accepting.add(`w${i}`);
  }
}

function requestOf(next: Step, taskId: string): PlacementRequest {
  const {resources, urgency, group, value} = next;
  return {
    taskId,
    customer: 'a',
    kind: 'k',
    urgency,
    resources,
    spreadGroup: group,
    runTimeMs: 0,
    value,
  };
}

/** Asserts that the victims are evictable, sufficient and all necessary. */
function checkVictims(
  model: NaiveModel,
  choice: {worker: string; victims: readonly string[]; need: Resources},
): void {
  const {worker, victims, need} = choice;
  const fitsWithout = (left: readonly string[]): boolean => {
    const other = new NaiveModel();
    other.capacities.set(worker, model.capacities.get(worker)!);
    other.tasks = model.tasks.filter((task) => !left.includes(task.taskId));
    return other.fits(worker, need);
  };
  for (const victim of victims) {
    const task = model.tasks.find((one) => one.taskId === victim)!;
    assert.equal(task.worker, worker);
    assert.notEqual(task.urgency, Urgency.URGENT);
    assert.ok(!fitsWithout(victims.filter((one) => one !== victim)));
  }
  assert.ok(fitsWithout(victims));
}

function runStep(
  state: {policy: PlacementPolicy; model: NaiveModel; mustFindWorker: boolean},
  next: {step: Step; taskId: string},
): void {
  const {policy, model, mustFindWorker} = state;
  const {action, pick, resources} = next.step;
  const worker = `w${pick % WORKERS}`;
  if (action === 'start') {
    const request = requestOf(next.step, next.taskId);
    const placement = policy.place(request);
    if (!placement) {
      assert.ok(
        !mustFindWorker || !model.anyFits(resources),
        'missed a worker',
      );
      return;
    }
    const {worker, victims} = placement;
    assert.ok(model.accepting.has(worker));
    checkVictims(model, {worker, victims, need: resources});
    victims.forEach((victim) => policy.release(victim));
    model.tasks = model.tasks.filter((one) => !victims.includes(one.taskId));
    const task = {...request, worker, lostWorkMs: pick};
    policy.commit(task);
    model.tasks.push(task);
  } else if (action === 'end' && model.tasks.length > 0) {
    const [task] = model.tasks.splice(pick % model.tasks.length, 1);
    policy.release(task!.taskId);
    policy.release(task!.taskId);
  } else if (action === 'accept') {
    const isAccepting = !model.accepting.has(worker);
    policy.setAccepting(worker, isAccepting);
    if (isAccepting) model.accepting.add(worker);
    else model.accepting.delete(worker);
  } else if (action === 'resize') {
    const capacity = {
      ...model.capacities.get(worker)!,
      processors: 8 + (pick % 9),
    };
    const rack = `r${(pick % WORKERS) % 3}`;
    policy.addWorker({worker, rack, capacity});
    model.capacities.set(worker, capacity);
  }
}

function checkTotals(policy: PlacementPolicy, model: NaiveModel): void {
  const sum = {processors: 0, memoryMegabytes: 0, accelerators: 0};
  for (const worker of model.accepting) {
    const free = model.free(worker);
    sum.processors += free.processors;
    sum.memoryMegabytes += free.memoryMegabytes;
    sum.accelerators += free.accelerators;
  }
  const totals = policy.freeTotals();
  assert.ok(Math.abs(totals.processors - sum.processors) < 1e-6);
  assert.ok(Math.abs(totals.memoryMegabytes - sum.memoryMegabytes) < 1e-3);
  assert.equal(totals.accelerators, sum.accelerators);
}

const POLICIES: ReadonlyArray<{create: () => PlacementPolicy; name: string}> = [
  {name: 'first fit', create: () => new FirstFit()},
  {name: 'best fit', create: () => new BestFit()},
  {name: 'headroom fit', create: () => new HeadroomFit({headroom: 0})},
];

for (const {name, create} of POLICIES) {
  // Guards against commitments that exceed the capacity of a worker (P1),
  // against an index that loses a worker or keeps a removed one, and against
  // unnecessary evictions.
  test(`${name} agrees with a naive model for any sequence of steps`, () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 120}), (steps) => {
        const state = {
          policy: create(),
          model: new NaiveModel(),
          mustFindWorker: true,
        };
        start(state.policy, state.model);
        steps.forEach((next, i) =>
          runStep(state, {step: next, taskId: `t${i}`}),
        );
        checkTotals(state.policy, state.model);
        for (const worker of state.model.accepting) {
          const free = state.model.free(worker);
          const exact = {...free, processors: Math.max(0, free.processors)};
          if (free.processors < 0) continue;
          assert.ok(
            state.policy.place(
              requestOf(
                {
                  ...steps[0]!,
                  resources: exact,
                  urgency: Urgency.URGENT,
                } as Step,
                'last',
              ),
            ),
          );
        }
      }),
      RUNS,
    );
  });
}
