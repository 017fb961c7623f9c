import {Resources} from '../workers/resources.js';

const UNITS_PER_WHOLE = 1000;
// Decimal fractions such as 0.1 are inexact; this keeps them from rounding up.
const ROUNDING_SLACK = 1e-6;

/**
 * Resources in whole units (thousandths of a processor and of a MB), so that
 * any order of commitments and releases leaves an exact sum.
 */
export class ResourceUnits {
  private constructor(
    readonly processors: number,
    readonly memory: number,
    readonly accelerators: number,
  ) {}

  /** Units that a task needs, rounded up. */
  static needed(resources: Resources): ResourceUnits {
    return new ResourceUnits(
      Math.ceil(resources.processors * UNITS_PER_WHOLE - ROUNDING_SLACK),
      Math.ceil(resources.memoryMegabytes * UNITS_PER_WHOLE - ROUNDING_SLACK),
      Math.ceil(resources.accelerators),
    );
  }

  /** Units that a worker offers, rounded down. */
  static offered(resources: Resources): ResourceUnits {
    return new ResourceUnits(
      Math.floor(resources.processors * UNITS_PER_WHOLE + ROUNDING_SLACK),
      Math.floor(resources.memoryMegabytes * UNITS_PER_WHOLE + ROUNDING_SLACK),
      Math.floor(resources.accelerators),
    );
  }

  /** Converts a number of units of processors or memory to whole ones. */
  static toWhole(units: number): number {
    return units / UNITS_PER_WHOLE;
  }

  /**
   * Checks that the amounts can be accounted for.
   *
   * @throws RangeError if an amount is negative or not a finite number.
   */
  check(owner: string): void {
    for (const amount of [this.processors, this.memory, this.accelerators]) {
      if (!(amount >= 0 && Number.isFinite(amount))) {
        throw new RangeError(
          `Cannot account for ${owner}: amount ${amount} is not a finite number of at least 0`,
        );
      }
    }
  }
}
