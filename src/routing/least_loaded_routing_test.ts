import assert from 'node:assert/strict';
import {test} from 'node:test';

import {ManualClock} from '../clock/manual_clock.js';
import {Urgency} from '../contracts/urgency.js';
import {SeededRandom} from '../random/seeded_random.js';
import {LeastLoadedRouting} from './least_loaded_routing.js';
import {TargetLoad} from './routing_policy.js';

/** Simulates targets on a manual clock, with random run times per request. */
class Simulation {
  readonly clock = new ManualClock();
  readonly random = new SeededRandom(7);
  readonly policy = new LeastLoadedRouting({
    clock: this.clock,
    random: this.random,
  });
  readonly loads: TargetLoad[] = [];
  readonly slowdown = new Map<string, number>();
  readonly sent = new Map<string, number>();
  isFailing = false;
  usualMs = 40;
  private running: Array<{target: string; startMs: number; endMs: number}> = [];

  constructor(targets: number) {
    for (let i = 0; i < targets; i++) {
      const target = `t${i}`;
      this.loads.push({target, slots: 8, inUse: 0, isAvailable: true});
    }
  }

  /** Sends one request per ms; returns the requests sent to each target. */
  run(durationMs: number, urgency: Urgency = 'standard'): Map<string, number> {
    this.sent.clear();
    for (let i = 0; i < durationMs; i++) {
      this.clock.advance(1);
      this.finishDue();
      const choice = this.policy.choose(this.loads, {
        urgency,
        attempted: new Set(),
      });
      if (choice) this.start(choice.target);
    }
    return this.sent;
  }

  private start(target: string): void {
    const startMs = this.clock.nowMs();
    const variation = 0.5 + this.random.next();
    const workMs = this.usualMs * variation * (this.slowdown.get(target) ?? 1);
    this.running.push({target, startMs, endMs: startMs + workMs});
    this.loads.find((load) => load.target === target)!.inUse += 1;
    this.sent.set(target, (this.sent.get(target) ?? 0) + 1);
  }

  private finishDue(): void {
    const nowMs = this.clock.nowMs();
    for (const {target, startMs} of this.running.filter(
      (request) => request.endMs <= nowMs,
    )) {
      const load = this.loads.find((other) => other.target === target);
      if (load) load.inUse -= 1;
      const succeeded = !this.isFailing;
      const latencyMs = nowMs - startMs;
      this.policy.recordResult({target, latencyMs, succeeded});
    }
    this.running = this.running.filter((request) => request.endMs > nowMs);
  }
}

// Guards against routing requests to a slow target, and against never probing
// it.
test('a slow target gets only probes and returns with a slow start', () => {
  const simulation = new Simulation(10);
  simulation.run(2000);
  simulation.slowdown.set('t3', 5);
  simulation.run(1000);
  const late = simulation.run(500).get('t3') ?? 0;
  assert.ok(late <= 1, `${late} requests after the first second`);
  assert.equal(simulation.policy.isEjected('t3'), true);
  const probes = simulation.run(5000).get('t3') ?? 0;
  assert.ok(probes >= 3 && probes <= 6, `${probes} probes in 5 s`);
  simulation.slowdown.clear();
  simulation.run(1500);
  assert.equal(simulation.policy.isEjected('t3'), false);
  const returning = simulation.run(500).get('t3') ?? 0;
  simulation.run(3000);
  const usual = simulation.run(500).get('t3') ?? 0;
  assert.ok(returning < usual, `${returning} at first, ${usual} later`);
});

// Guards against false positives caused by ordinary variation of run times.
test('equally fast targets are never ejected', () => {
  const simulation = new Simulation(45);
  for (let i = 0; i < 20; i++) {
    simulation.run(500);
    assert.ok(
      !simulation.loads.some((l) => simulation.policy.isEjected(l.target)),
    );
  }
});

// Guards against ejecting so many targets that the rest is overloaded.
test('at most a third of the targets is ejected', () => {
  const simulation = new Simulation(9);
  simulation.isFailing = true;
  simulation.run(3000);
  const ejected = simulation.loads.filter((load) =>
    simulation.policy.isEjected(load.target),
  );
  assert.equal(ejected.length, 3);
});

// Guards against ejecting targets because the results of some arrive before
// those of others after all run times changed.
test('a change of the run times of all targets ejects none', () => {
  const simulation = new Simulation(4);
  simulation.usualMs = 2;
  simulation.run(500);
  simulation.usualMs = 60;
  for (let i = 0; i < 50; i++) {
    simulation.run(50);
    assert.ok(
      !simulation.loads.some((l) => simulation.policy.isEjected(l.target)),
    );
  }
  const counts = [...simulation.run(1000).values()];
  assert.ok(Math.min(...counts) > 0.7 * Math.max(...counts), counts.join(', '));
});

// Guards against ejecting one of two targets, which are too few to compare,
// after the other targets changed owner.
test('targets that are no longer owned do not count as peers', () => {
  const simulation = new Simulation(6);
  simulation.run(500);
  simulation.loads.splice(2);
  simulation.slowdown.set('t1', 4);
  simulation.run(2000);
  assert.equal(simulation.policy.isEjected('t1'), false);
});

// Guards against flooding a target that has just become available.
test('a target that was unavailable returns with a slow start', () => {
  const simulation = new Simulation(3);
  simulation.loads[0]!.isAvailable = false;
  simulation.run(200);
  simulation.loads[0]!.isAvailable = true;
  simulation.run(10);
  assert.equal(simulation.loads[0]!.inUse, 1);
});

// Guards against a slow start each time a target had no free slot.
test('a target that was full returns without a slow start', () => {
  const simulation = new Simulation(3);
  const load = simulation.loads[0]!;
  simulation.run(1);
  Object.assign(load, {isAvailable: false, inUse: 8});
  simulation.run(1);
  Object.assign(load, {isAvailable: true, inUse: 0});
  simulation.run(40);
  assert.ok(load.inUse > 3, `${load.inUse} in use`);
});

// Guards against using urgent requests as probes while other requests could
// be used.
test('urgent requests probe an ejected target only after a longer wait', () => {
  const simulation = new Simulation(10);
  simulation.slowdown.set('t3', 8);
  simulation.run(3000);
  assert.equal(simulation.policy.isEjected('t3'), true);
  const urgent = simulation.run(8000, 'urgent').get('t3') ?? 0;
  assert.ok(urgent >= 2 && urgent <= 4, `${urgent} urgent probes in 8 s`);
});
