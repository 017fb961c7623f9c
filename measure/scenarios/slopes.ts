import {fitLine} from '../fit_line.js';
import {Scenario} from '../scenario.js';
import {CANCELLED_JOBS_SLOPES} from '../slopes/cancelled_jobs_slopes.js';
import {CONFIGURATION_SLOPES} from '../slopes/configuration_slopes.js';
import {DECISION_SLOPES} from '../slopes/decision_slopes.js';
import {MEMBERSHIP_SLOPES} from '../slopes/membership_slopes.js';
import {WORKER_SLOPES} from '../slopes/worker_slopes.js';
import {SlopeCase} from '../slopes/slope_case.js';

const CASES: readonly SlopeCase[] = [
  ...MEMBERSHIP_SLOPES,
  ...CONFIGURATION_SLOPES,
  ...DECISION_SLOPES,
  ...WORKER_SLOPES,
  ...CANCELLED_JOBS_SLOPES,
];

function measureCase(slopeCase: SlopeCase): Record<string, unknown> {
  const points = slopeCase.sizes.map((size) => ({
    size,
    ...slopeCase.run(size),
  }));
  const bytes = fitLine(points.map((point) => [point.size, point.bytes]));
  const time = fitLine(points.map((point) => [point.size, point.microseconds]));
  return {
    name: slopeCase.name,
    per: slopeCase.per,
    bytesAre: slopeCase.bytesAre,
    sizes: slopeCase.sizes,
    bytesEach: round(bytes.slope),
    bytesFixed: round(bytes.intercept),
    bytesResidual: round(bytes.residual),
    microsecondsEach: round(time.slope),
    microsecondsFixed: round(time.intercept),
    microsecondsResidual: round(time.residual),
  };
}

function round(value: number): number {
  return Number(value.toPrecision(4));
}

/**
 * Measures how memory, message sizes and CPU time of each role grow with the
 * size of the system.
 */
export const runSlopes: Scenario = (options) => {
  const slopes = CASES.map((slopeCase) => {
    const result = measureCase(slopeCase);
    options.progress(JSON.stringify(result));
    return result;
  });
  return Promise.resolve({violations: 0, slopes});
};
