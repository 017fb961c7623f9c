import {Clock} from './clock.js';

/** Options of {@link ManualClock}. */
export interface ManualClockOptions {
  /** Initial monotonic time in ms. @default 0 */
  startMs?: number;
  /** Wall-clock time in ms at `startMs`. @default 0 */
  wallStartMs?: number;
}

/** Clock that only advances on request; for tests and simulations. */
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

  /** Advances both times by `durationMs`. */
  advance(durationMs: number): void {
    this.currentMs += durationMs;
  }
}
