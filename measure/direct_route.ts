import {request} from 'undici';

import {EPOCH_HEADER, TargetStatus} from '../src/targets/target_status.js';
import {LatencyRoute} from './latency_client.js';

/** Routes directly to the target with the fewest requests in flight. */
export class DirectRoute implements LatencyRoute {
  readonly path = '/work';
  private readonly inUse: number[];
  private readonly epochs: string[];
  private turnIndex = 0;

  constructor(private readonly origins: readonly string[]) {
    this.inUse = origins.map(() => 0);
    this.epochs = origins.map(() => '0');
  }

  /**
   * Reads the current epoch of each target, because targets refuse requests
   * that carry a lower one.
   */
  async readEpochs(): Promise<void> {
    for (const [index, origin] of this.origins.entries()) {
      const answer = await request(`${origin}/-/executor`);
      const status = (await answer.body.json()) as TargetStatus;
      this.epochs[index] = String(status.epoch);
    }
  }

  acquire(): {
    origin: string;
    headers: Record<string, string>;
    release: () => void;
  } {
    this.turnIndex += 1;
    let bestIndex = this.turnIndex % this.origins.length;
    for (let i = 0; i < this.origins.length; i++) {
      if (this.inUse[i]! < this.inUse[bestIndex]!) bestIndex = i;
    }
    this.inUse[bestIndex]! += 1;
    return {
      origin: this.origins[bestIndex]!,
      headers: {[EPOCH_HEADER]: this.epochs[bestIndex]!},
      release: () => {
        this.inUse[bestIndex]! -= 1;
      },
    };
  }
}
