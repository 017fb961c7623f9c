import {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {RandomSource} from './random_source.js';

const UINT32_RANGE = 0x100000000;

/** Random source whose sequence is given by its seed. */
export class SeededRandom implements RandomSource {
  private readonly generator: RandomGenerator;

  /** @param seed - Whole number; equal seeds give equal sequences. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }

  nextInteger(limit: number): number {
    return Math.floor(this.next() * limit);
  }
}
