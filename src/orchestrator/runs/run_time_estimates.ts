import {StepDefinition} from '../../work/job_definition.js';
import {StepRunTimes} from './step_run_times.js';

/**
 * Weight, in runs, of what is assumed before runs of a queue have ended: that
 * run times are as declared, with the assumed deviation.
 */
const PRIOR_RUNS = 50;

/** Assumed standard deviation of the logarithm of run times in one step. */
const PRIOR_DEVIATION = 0.5;

/** Share of its weight that evidence loses with each further run. */
const FORGETTING = 1 / 4000;

/** Maximum number of queues with evidence; further ones use what is declared. */
const MAX_QUEUES = 256;

/** Runs of a step that must have ended before they tell its run times. */
const ENOUGH_RUNS = 3;

/**
 * Expected durations of steps, learned by queue from runs that were not limited.
 * Declared run times are far off, so that each counts only as far as it has
 * explained those of its queue: a linear regression between the logarithms. A
 * step ends with the last of its tasks, whose spread is learned as well.
 */
export class RunTimeEstimates {
  private readonly queues = new Map<string, QueueEvidence>();

  /** Adds the duration of a run, and records it in those of its step. */
  record(
    queue: string,
    run: {estimatedMs: number; tookMs: number; step: StepRunTimes},
  ): void {
    const {estimatedMs, tookMs, step} = run;
    if (!(estimatedMs > 0) || !(tookMs > 0)) return;
    let evidence = this.queues.get(queue);
    if (!evidence && this.queues.size < MAX_QUEUES) {
      evidence = new QueueEvidence();
      this.queues.set(queue, evidence);
    }
    const spread = step.add(tookMs);
    evidence?.add(Math.log(estimatedMs), Math.log(tookMs), spread);
  }

  /** Returns the expected duration in ms of one run of a step. */
  runMs(queue: string, step: StepDefinition, known: StepRunTimes): number {
    if (!(step.estimatedMs > 0)) return 0;
    if (known.count >= ENOUGH_RUNS) return Math.exp(known.meanLogarithm);
    const evidence = this.queues.get(queue) ?? NO_EVIDENCE;
    return Math.exp(evidence.expect(Math.log(step.estimatedMs)));
  }

  /**
   * Returns the expected duration in ms of a step whose tasks run in parallel.
   *
   * @param known - Runs of the step that have ended. @default none
   */
  stepMs(queue: string, step: StepDefinition, known?: StepRunTimes): number {
    const {estimatedMs, taskCount} = step;
    if (!(estimatedMs > 0)) return 0;
    if (known && known.count >= taskCount) return known.longestMs;
    const evidence = this.queues.get(queue) ?? NO_EVIDENCE;
    const longest = evidence.deviation * longestOf(taskCount);
    const typical =
      known && known.count >= ENOUGH_RUNS
        ? known.meanLogarithm
        : evidence.expect(Math.log(estimatedMs));
    return Math.max(known?.longestMs ?? 0, Math.exp(typical + longest));
  }
}

/** What is known of the run times of one queue, in logarithms of ms. */
class QueueEvidence {
  private weight = 0;
  private declared = 0;
  private actual = 0;
  private declaredSquares = 0;
  private products = 0;
  private spreadSquares = PRIOR_RUNS * PRIOR_DEVIATION ** 2;
  private spreadWeight = PRIOR_RUNS;

  /**
   * Adds a run.
   *
   * @param spread - Its squared distance from other runs of its step; undefined
   *     if it is the first.
   */
  add(declared: number, actual: number, spread: number | undefined): void {
    const kept = 1 - FORGETTING;
    this.weight = this.weight * kept + 1;
    this.declared = this.declared * kept + declared;
    this.actual = this.actual * kept + actual;
    this.declaredSquares = this.declaredSquares * kept + declared ** 2;
    this.products = this.products * kept + declared * actual;
    if (spread === undefined) return;
    this.spreadSquares = this.spreadSquares * kept + spread;
    this.spreadWeight = this.spreadWeight * kept + 1;
  }

  /** Standard deviation of run times in one step. */
  get deviation(): number {
    return Math.sqrt(this.spreadSquares / this.spreadWeight);
  }

  /** Returns the expected run time for a declared one. */
  expect(declared: number): number {
    if (this.weight === 0) return declared;
    const meanDeclared = this.declared / this.weight;
    const meanActual = this.actual / this.weight;
    const variance = this.declaredSquares / this.weight - meanDeclared ** 2;
    const covariance = this.products / this.weight - meanDeclared * meanActual;
    // What is assumed, a slope of 1, counts as runs of the same variance.
    const assumed = PRIOR_RUNS / (PRIOR_RUNS + this.weight);
    const learnedSlope =
      variance > MIN_VARIANCE
        ? Math.min(1, Math.max(0, covariance / variance))
        : 1;
    const slope = assumed + (1 - assumed) * learnedSlope;
    const learned = meanActual + slope * (declared - meanDeclared);
    return assumed * declared + (1 - assumed) * learned;
  }
}

/** Variance of declared run times below which no slope can be learned. */
const MIN_VARIANCE = 1e-6;

const NO_EVIDENCE = new QueueEvidence();

/** Returns the expected largest of a number of standard normal values. */
function longestOf(count: number): number {
  return normalQuantile(count / (count + 1));
}

/**
 * Approximates a quantile of the standard normal distribution by Tukey's lambda
 * distribution, to 0.01 between 0.5 and 0.99.
 */
function normalQuantile(quantile: number): number {
  const lambda = 0.135;
  const scale = 0.1975;
  return (quantile ** lambda - (1 - quantile) ** lambda) / scale;
}
