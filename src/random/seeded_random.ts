import {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {RandomSource} from './random_source.js';

const UINT32_RANGE = 0x100000000;

/** Pseudo-random number generator (xoroshiro128+) with a fixed seed. */
export class SeededRandom implements RandomSource {
  private readonly generator: RandomGenerator;

  /** @param seed - Integer; equal seeds give equal sequences. */
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
