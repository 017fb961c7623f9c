import {TestContext} from 'node:test';

import {ManualClock} from '../src/clock/manual_clock.js';

/** Something that happens at a simulated time. */
interface SimulatedEvent {
  dueMs: number;
  run: () => void;
  isCancelled: boolean;
}

/** Timer of the process; repeats if it has an interval. */
interface SimulatedTimer extends SimulatedEvent {
  intervalMs: number | undefined;
}

/**
 * Event loop of one process on a manual clock. The time that the process takes
 * for its work is passed to {@link charge}; what happens meanwhile waits, so
 * that timers and messages are handled late, as in a process that is behind.
 * As in Node.js, timers run first, then messages, then immediates.
 */
export class SimulatedEventLoop {
  readonly clock = new ManualClock({startMs: 1000, wallStartMs: 1_000_000});
  private readonly outside: SimulatedEvent[] = [];
  private readonly timers: SimulatedTimer[] = [];
  private readonly messages: Array<() => void> = [];
  private immediates: Array<() => void> = [];
  private readonly yieldToPromises = globalThis.setImmediate;

  /** Replaces the global timers for one test. */
  constructor(context: TestContext) {
    const {mock} = context;
    const start =
      (repeats: boolean) =>
      (run: () => void, delayMs = 0): SimulatedTimer =>
        this.startTimer(run, {delayMs, repeats});
    const stop = (timer: SimulatedTimer | undefined): void => {
      if (timer) timer.isCancelled = true;
    };
    const functions = {
      setTimeout: start(false),
      setInterval: start(true),
      clearTimeout: stop,
      clearInterval: stop,
      setImmediate: (run: () => void) => this.immediates.push(run),
    };
    for (const [name, replacement] of Object.entries(functions)) {
      mock.method(globalThis, name as 'setTimeout', replacement as never);
    }
  }

  /** Advances the time by what the process needs for a piece of work. */
  charge(durationMs: number): void {
    this.clock.advance(durationMs);
  }

  /** Runs `action` outside the process after a delay, without a charge. */
  after(
    delayMs: number,
    action: () => void,
    fromMs = this.clock.nowMs(),
  ): void {
    insert(this.outside, {
      dueMs: fromMs + delayMs,
      run: action,
      isCancelled: false,
    });
  }

  /** Passes a message to the process, which handles it when it gets to it. */
  deliver(handle: () => void): void {
    this.messages.push(handle);
  }

  /** Runs the process until a simulated time in ms. */
  async runUntil(endMs: number): Promise<void> {
    while (this.clock.nowMs() < endMs) {
      await this.runTimers();
      this.runOutside();
      for (const handle of this.messages.splice(0)) await this.runOne(handle);
      const immediates = this.immediates;
      this.immediates = [];
      for (const run of immediates) await this.runOne(run);
      this.waitForNext(endMs);
    }
  }

  /** Time in ms at which the event outside that is being run happens. */
  get outsideMs(): number {
    return this.currentOutsideMs;
  }

  private currentOutsideMs = 0;

  private startTimer(
    run: () => void,
    {delayMs, repeats}: {delayMs: number; repeats: boolean},
  ): SimulatedTimer {
    const timer: SimulatedTimer = {
      dueMs: this.clock.nowMs() + Math.max(1, delayMs),
      run,
      isCancelled: false,
      intervalMs: repeats ? delayMs : undefined,
    };
    insert(this.timers, timer);
    return timer;
  }

  private async runTimers(): Promise<void> {
    while ((this.timers[0]?.dueMs ?? Infinity) <= this.clock.nowMs()) {
      const timer = this.timers.shift()!;
      if (timer.isCancelled) continue;
      await this.runOne(timer.run);
      if (timer.intervalMs === undefined) continue;
      timer.dueMs = this.clock.nowMs() + timer.intervalMs;
      insert(this.timers, timer);
    }
  }

  private runOutside(): void {
    while ((this.outside[0]?.dueMs ?? Infinity) <= this.clock.nowMs()) {
      const event = this.outside.shift()!;
      this.currentOutsideMs = event.dueMs;
      event.run();
    }
  }

  private async runOne(run: () => void): Promise<void> {
    run();
    await new Promise<void>((resolve) => this.yieldToPromises(resolve));
  }

  /** Advances the time to the next event if there is nothing to do. */
  private waitForNext(endMs: number): void {
    if (this.messages.length > 0 || this.immediates.length > 0) return;
    const nextMs = Math.min(
      this.timers[0]?.dueMs ?? Infinity,
      this.outside[0]?.dueMs ?? Infinity,
      endMs,
    );
    const nowMs = this.clock.nowMs();
    if (nextMs > nowMs) this.clock.advance(nextMs - nowMs);
  }
}

/** Inserts an event after those that are due no later. */
function insert<T extends SimulatedEvent>(events: T[], event: T): void {
  let low = 0;
  let high = events.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (events[middle]!.dueMs <= event.dueMs) low = middle + 1;
    else high = middle;
  }
  events.splice(low, 0, event);
}
