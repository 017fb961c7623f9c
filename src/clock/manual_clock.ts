import {Clock} from './clock.js';

/** Options of {@link ManualClock}. */
export interface ManualClockOptions {
  /** First monotonic reading in ms. @default 0 */
  startMs?: number;
  /** Wall-clock time in ms that belongs to `startMs`. @default 0 */
  wallStartMs?: number;
}

/** Clock that moves only when told to; for tests and for pure simulations. */
export class ManualClock implements Clock {
  private currentMs: number;
  private readonly wallOffsetMs: number;

  constructor(options: ManualClockOptions = {}) {
    this.currentMs = options.startMs ?? 0;
    this.wallOffsetMs = (options.wallStartMs ?? 0) - this.currentMs;
  }

  nowMs(): number {
    return this.currentMs;
  }

  wallMs(): number {
    return this.currentMs + this.wallOffsetMs;
  }

  /** Moves the clock forward by `durationMs`. */
  advance(durationMs: number): void {
    this.currentMs += durationMs;
  }
}
