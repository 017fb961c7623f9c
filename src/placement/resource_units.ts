import {Resources} from '../workers/resources.js';

/** Number of units per processor and per megabyte. */
const UNIT_SCALE = 1000;

/**
 * Tolerance of the rounding: decimal fractions such as 0.1 have no exact binary
 * value and would otherwise be rounded to the next unit.
 */
const ROUNDING_SLACK = 1e-6;

/**
 * Resources in integer units (thousandths of a processor and of a MB), so that
 * sums are exact for any order of commitments and releases.
 */
export class ResourceUnits {
  private constructor(
    readonly processors: number,
    readonly memory: number,
    readonly accelerators: number,
  ) {}

  /** Returns the units that a task needs, rounded up. */
  static needed(resources: Resources): ResourceUnits {
    return new ResourceUnits(
      Math.ceil(resources.processors * UNIT_SCALE - ROUNDING_SLACK),
      Math.ceil(resources.memoryMegabytes * UNIT_SCALE - ROUNDING_SLACK),
      Math.ceil(resources.accelerators),
    );
  }

  /** Returns the units that a worker offers, rounded down. */
  static offered(resources: Resources): ResourceUnits {
    return new ResourceUnits(
      Math.floor(resources.processors * UNIT_SCALE + ROUNDING_SLACK),
      Math.floor(resources.memoryMegabytes * UNIT_SCALE + ROUNDING_SLACK),
      Math.floor(resources.accelerators),
    );
  }

  /** Converts units to the amount in processors or megabytes. */
  static toAmount(units: number): number {
    return units / UNIT_SCALE;
  }

  /**
   * Checks that the amounts are valid.
   *
   * @param owner - Task or worker to name in the error message.
   * @throws RangeError if an amount is negative or not a finite number.
   */
  check(owner: string): void {
    for (const amount of [this.processors, this.memory, this.accelerators]) {
      if (!(amount >= 0 && Number.isFinite(amount))) {
        throw new RangeError(
          `Cannot account for ${owner}: amount ${amount} is not a finite, non-negative number`,
        );
      }
    }
  }
}
