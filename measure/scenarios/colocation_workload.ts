import {Urgency} from '../../src/contracts/urgency.js';
import {RandomSource} from '../../src/random/random_source.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {Resources} from '../../src/workers/resources.js';

/** Job of one task, with its declared and its actual needs. */
export interface ColocationJob {
  jobId: string;
  kind: string;
  customer: string;
  urgency: Urgency;
  /** Resources that the customer declared. */
  declared: Resources;
  declaredRunTimeMs: number;
  /** Resources that the task needs. */
  actual: Resources;
  /** Run time in ms without interference; 0 if the task does not end. */
  actualRunTimeMs: number;
  /** Whether the task fails, whichever worker runs it. */
  fails: boolean;
  /** Group whose tasks are spread over racks and workers. */
  spreadGroup?: string;
  arrivedMs: number;
  value: number;
}

interface KindProfile {
  kind: string;
  urgency: Urgency;
  /** Mean actual resources. */
  actual: Resources;
  runTimeMs: number;
  /** Declared needs as multiples of the mean actual needs. */
  declaredFactor: {processors: number; memory: number; runTime: number};
}

const PREVIEWS: readonly KindProfile[] = [
  {
    kind: 'preview-small',
    urgency: Urgency.URGENT,
    actual: {processors: 1.5, memoryMegabytes: 3_000, accelerators: 0},
    runTimeMs: 6_000,
    declaredFactor: {processors: 2, memory: 2, runTime: 3},
  },
  {
    kind: 'preview-large',
    urgency: Urgency.URGENT,
    actual: {processors: 3, memoryMegabytes: 8_000, accelerators: 0},
    runTimeMs: 10_000,
    declaredFactor: {processors: 1.3, memory: 1.5, runTime: 2},
  },
];

const RENDERS: readonly KindProfile[] = [
  {
    kind: 'render-catalogue',
    urgency: Urgency.BATCH,
    actual: {processors: 3, memoryMegabytes: 8_000, accelerators: 0},
    runTimeMs: 70_000,
    declaredFactor: {processors: 2, memory: 2.5, runTime: 4},
  },
  {
    kind: 'render-poster',
    urgency: Urgency.BATCH,
    actual: {processors: 6, memoryMegabytes: 14_000, accelerators: 0},
    runTimeMs: 110_000,
    declaredFactor: {processors: 1.3, memory: 1.6, runTime: 0.5},
  },
  {
    kind: 'render-cover',
    urgency: Urgency.STANDARD,
    actual: {processors: 2, memoryMegabytes: 12_000, accelerators: 0},
    runTimeMs: 50_000,
    declaredFactor: {processors: 2, memory: 0.8, runTime: 2},
  },
  {
    kind: 'render-thumbnail',
    urgency: Urgency.BATCH,
    actual: {processors: 1, memoryMegabytes: 2_000, accelerators: 0},
    runTimeMs: 25_000,
    declaredFactor: {processors: 1, memory: 3, runTime: 1},
  },
  {
    kind: 'render-animation',
    urgency: Urgency.BATCH,
    actual: {processors: 4, memoryMegabytes: 16_000, accelerators: 1},
    runTimeMs: 90_000,
    declaredFactor: {processors: 1.5, memory: 1.5, runTime: 1.5},
  },
];

const WATCHER: KindProfile = {
  kind: 'watcher',
  urgency: Urgency.STANDARD,
  actual: {processors: 0.3, memoryMegabytes: 700, accelerators: 0},
  runTimeMs: 0,
  declaredFactor: {processors: 3, memory: 3, runTime: 0},
};

/** Previews per second outside load peaks. */
const PREVIEWS_PER_SECOND = 8;
const PEAK_PREVIEWS_PER_SECOND = 22;
const PEAK_INTERVAL_MS = 150_000;
const PEAK_DURATION_MS = 35_000;
const ANIMATION_FRACTION = 0.05;
const FAILING_FRACTION = 0.01;
const MAX_SLOWDOWN = 3;

/** Slowdown that one neighbour adds, by kind and by kind of the neighbour. */
const NEIGHBOUR_SLOWDOWN: Readonly<
  Record<string, Readonly<Record<string, number>>>
> = {
  'preview-small': {'render-poster': 0.3, 'render-animation': 0.15},
  'preview-large': {'render-poster': 0.22, 'render-catalogue': 0.08},
  'render-catalogue': {'render-poster': 0.12, 'render-catalogue': 0.02},
  'render-poster': {'render-poster': 0.25, 'render-thumbnail': 0.01},
  'render-cover': {'render-catalogue': 0.06, 'render-poster': 0.15},
  'render-thumbnail': {'render-poster': 0.1},
  'render-animation': {'render-cover': 0.1, 'render-poster': 0.2},
};
/**
 * In the second half of a run, this kind and `render-poster` swap the slowdowns
 * that they cause to their neighbours.
 */
const LATER_NOISY_KIND = 'render-cover';

/** Seeded stream of jobs, and the interference between their kinds. */
export class ColocationWorkload {
  private readonly arrivals: RandomSource;
  private readonly sizes: RandomSource;
  private nextJob = 0;

  constructor(private readonly options: {seed: number; durationMs: number}) {
    this.arrivals = new SeededRandom(options.seed);
    this.sizes = new SeededRandom(options.seed + 1);
  }

  /** Returns the previews that arrive in the tick that ends at `nowMs`. */
  previews(nowMs: number, tickMs: number): ColocationJob[] {
    const isPeak =
      nowMs % PEAK_INTERVAL_MS > PEAK_INTERVAL_MS - PEAK_DURATION_MS;
    const rate = isPeak ? PEAK_PREVIEWS_PER_SECOND : PREVIEWS_PER_SECOND;
    const jobs: ColocationJob[] = [];
    let expected = (rate * tickMs) / 1000;
    for (; expected > 0; expected -= 1) {
      if (this.arrivals.next() >= expected) continue;
      const profile = PREVIEWS[this.arrivals.nextInteger(PREVIEWS.length)]!;
      jobs.push(this.createJob(profile, {random: this.arrivals, nowMs}));
    }
    return jobs;
  }

  /** Returns the next batch render; the order is the same for each policy. */
  render(nowMs: number): ColocationJob {
    // Animations need accelerators, which are scarce; more of them would only
    // wait.
    const isAnimation = this.sizes.next() < ANIMATION_FRACTION;
    const last = RENDERS.length - 1;
    const profile = RENDERS[isAnimation ? last : this.sizes.nextInteger(last)]!;
    return this.createJob(profile, {random: this.sizes, nowMs});
  }

  /** Returns long-running watchers in spread groups of three. */
  watchers(count: number): ColocationJob[] {
    return [...Array(count).keys()].map((i) => ({
      ...this.createJob(WATCHER, {random: this.sizes, nowMs: 0}),
      spreadGroup: `watchers-${Math.floor(i / 3)}`,
      fails: false,
    }));
  }

  /**
   * Returns the factor by which its neighbours slow down a task of a kind. It
   * varies periodically and changes in the second half of the run.
   *
   * @param neighbours - Number of tasks on the worker by kind, including the
   *   task itself.
   */
  slowdown(
    kind: string,
    neighbours: ReadonlyMap<string, number>,
    nowMs: number,
  ): number {
    const slowdowns = NEIGHBOUR_SLOWDOWN[kind];
    if (!slowdowns) return 1;
    const isSecondHalf = nowMs > this.options.durationMs / 2;
    const timeFactor = 1 + 0.4 * Math.sin(nowMs / 60_000);
    let sum = 0;
    for (const [neighbour, count] of neighbours) {
      const others = neighbour === kind ? count - 1 : count;
      sum +=
        others *
        (slowdowns[isSecondHalf ? swapNoisyKinds(neighbour) : neighbour] ?? 0);
    }
    return Math.min(MAX_SLOWDOWN, 1 + sum * timeFactor);
  }

  private createJob(
    profile: KindProfile,
    options: {random: RandomSource; nowMs: number},
  ): ColocationJob {
    const {random, nowMs} = options;
    const {actual, declaredFactor, runTimeMs} = profile;
    const memoryFactor = randomFactor(random, 0.25);
    return {
      jobId: `${profile.kind}-${this.nextJob++}`,
      kind: profile.kind,
      customer: random.next() < 0.7 ? 'association' : 'guild',
      urgency: profile.urgency,
      declared: {
        processors: roundProcessors(
          actual.processors * declaredFactor.processors,
        ),
        memoryMegabytes: Math.round(
          actual.memoryMegabytes * declaredFactor.memory,
        ),
        accelerators: actual.accelerators,
      },
      declaredRunTimeMs: runTimeMs * declaredFactor.runTime,
      actual: {
        processors: roundProcessors(
          actual.processors * randomFactor(random, 0.2),
        ),
        memoryMegabytes: Math.round(actual.memoryMegabytes * memoryFactor),
        accelerators: actual.accelerators,
      },
      actualRunTimeMs: runTimeMs * randomFactor(random, 0.4),
      fails: random.next() < FAILING_FRACTION,
      arrivedMs: nowMs,
      value: 1 + random.nextInteger(3),
    };
  }
}

/** Returns a random factor that differs from 1 by at most `variation`. */
function randomFactor(random: RandomSource, variation: number): number {
  return 1 + variation * (random.next() + random.next() - 1);
}

function roundProcessors(processors: number): number {
  return Math.max(0.1, Math.round(processors * 10) / 10);
}

/** Swaps the kinds whose interference is exchanged in the second half. */
function swapNoisyKinds(kind: string): string {
  if (kind === 'render-poster') return LATER_NOISY_KIND;
  return kind === LATER_NOISY_KIND ? 'render-poster' : kind;
}
