import {request} from 'undici';

import {EPOCH_HEADER, TargetStatus} from '../src/targets/target_status.js';
import {LatencyRoute} from './latency_client.js';

/** Route straight to the targets, the one with the fewest requests first. */
export class DirectRoute implements LatencyRoute {
  readonly path = '/work';
  private readonly inUse: number[];
  private readonly epochs: string[];
  private turn = 0;

  constructor(private readonly origins: readonly string[]) {
    this.inUse = origins.map(() => 0);
    this.epochs = origins.map(() => '0');
  }

  /** Reads the epochs, because targets refuse requests with lower ones. */
  async readEpochs(): Promise<void> {
    for (const [index, origin] of this.origins.entries()) {
      const answer = await request(`${origin}/-/executor`);
      const status = (await answer.body.json()) as TargetStatus;
      this.epochs[index] = String(status.epoch);
    }
  }

  next(): {origin: string; headers: Record<string, string>; ended: () => void} {
    this.turn += 1;
    let best = this.turn % this.origins.length;
    for (let i = 0; i < this.origins.length; i++) {
      if (this.inUse[i]! < this.inUse[best]!) best = i;
    }
    this.inUse[best]! += 1;
    return {
      origin: this.origins[best]!,
      headers: {[EPOCH_HEADER]: this.epochs[best]!},
      ended: () => {
        this.inUse[best]! -= 1;
      },
    };
  }
}
