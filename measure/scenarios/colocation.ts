import {Clock} from '../../src/clock/clock.js';
import {SlowdownModel} from '../../src/interference/slowdown_model.js';
import {BestFit} from '../../src/placement/best_fit.js';
import {FirstFit} from '../../src/placement/first_fit.js';
import {HeadroomFit} from '../../src/placement/headroom_fit.js';
import {Scenario} from '../scenario.js';
import {
  ColocationMetrics,
  ColocationSimulation,
  ColocationSimulationOptions,
} from './colocation_simulation.js';

const DURATION_MS = 900_000;

type PolicyVariant = Pick<
  ColocationSimulationOptions,
  'createPolicy' | 'learnsSizes'
>;

/**
 * Policies by name. The baselines commit the declared sizes; the last two
 * variants separate the effect of learned sizes from that of interference.
 */
const VARIANTS: Readonly<Record<string, PolicyVariant>> = {
  'first fit': {createPolicy: () => new FirstFit()},
  'best fit': {createPolicy: () => new BestFit()},
  ours: {
    createPolicy: (model, clock) => createHeadroomFit(model, clock),
    learnsSizes: true,
  },
  'best fit with learned sizes': {
    createPolicy: () => new BestFit(),
    learnsSizes: true,
  },
  'ours without interference': {
    createPolicy: (...[, clock]) => new HeadroomFit({clock}),
    learnsSizes: true,
  },
};

/**
 * Runs urgent previews, batch renders and long-running watchers on 45 workers
 * in simulated time, with inaccurate declared sizes and interference that
 * changes over time. Each policy gets the same work and the same faults.
 */
export const runColocation: Scenario = (options) => {
  const {seed} = options;
  const results: Record<string, ColocationMetrics> = {};
  for (const [name, variant] of Object.entries(VARIANTS)) {
    const simulation = new ColocationSimulation({
      ...variant,
      seed,
      durationMs: DURATION_MS,
    });
    results[name] = simulation.run();
    options.progress(`${name}: ${JSON.stringify(results[name])}`);
  }
  const headroomFit = results['ours']!;
  const baseline = results['best fit']!;
  return Promise.resolve({
    batchThroughputRatio:
      headroomFit.batchWorkSeconds / baseline.batchWorkSeconds,
    urgentStartP99Ms: headroomFit.urgentStartP99Ms,
    sloMissRatio:
      headroomFit.sloMissPart / Math.max(1e-6, baseline.sloMissPart),
    evictions: headroomFit.evictions,
    policies: results,
    violations: Object.values(results).reduce(
      (sum, one) => sum + one.violations,
      0,
    ),
  });
};

function createHeadroomFit(model: SlowdownModel, clock: Clock): HeadroomFit {
  return new HeadroomFit({
    clock,
    slowdown: (kind, neighbour) => model.slowdown(kind, neighbour),
  });
}
