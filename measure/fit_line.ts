/** Straight line fitted to measured points by least squares. */
export interface FittedLine {
  slope: number;
  intercept: number;
  /** Largest absolute residual as a fraction of the largest absolute value. */
  residual: number;
}

/**
 * Fits a straight line to points by least squares.
 *
 * @param points - Pairs of size and measured value, with at least two
 *   different sizes.
 */
export function fitLine(
  points: ReadonlyArray<readonly [number, number]>,
): FittedLine {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const maxValue = Math.max(...points.map(([, y]) => Math.abs(y)));
  const maxDistance = Math.max(
    ...points.map(([x, y]) => Math.abs(y - (slope * x + intercept))),
  );
  return {
    slope,
    intercept,
    residual: maxValue > 0 ? maxDistance / maxValue : 0,
  };
}
