import {Urgency} from '../../src/contracts/urgency.js';
import {RandomSource} from '../../src/random/random_source.js';
import {SeededRandom} from '../../src/random/seeded_random.js';
import {Resources} from '../../src/workers/resources.js';

/** One task as it was declared and as it really is. */
export interface ColocationJob {
  jobId: string;
  kind: string;
  customer: string;
  urgency: Urgency;
  declared: Resources;
  declaredRunTimeMs: number;
  actual: Resources;
  /** Undisturbed run time in ms; 0 if endless. */
  actualRunTimeMs: number;
  fails: boolean;
  spreadGroup?: string;
  arrivedMs: number;
  value: number;
}

interface KindProfile {
  kind: string;
  urgency: Urgency;
  /** Mean actual need. */
  actual: Resources;
  runTimeMs: number;
  /** Declared need in proportion to the mean actual need. */
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

/** Previews per second outside of and inside a wave. */
const PREVIEWS_PER_SECOND = 8;
const PEAK_PREVIEWS_PER_SECOND = 22;
const PEAK_INTERVAL_MS = 150_000;
const PEAK_DURATION_MS = 35_000;
const ANIMATION_FRACTION = 0.05;
const FAILING_FRACTION = 0.01;
const MAX_SLOWDOWN = 3;

/** Slowdown that one neighbour adds, by kind and by neighbour. */
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
/** In the second half of a run this kind disturbs as render-poster did. */
const LATER_NOISY_KIND = 'render-cover';

/** Seeded work and the interference between its kinds. */
export class ColocationWorkload {
  private readonly arrivals: RandomSource;
  private readonly sizes: RandomSource;
  private nextJob = 0;

  constructor(private readonly options: {seed: number; durationMs: number}) {
    this.arrivals = new SeededRandom(options.seed);
    this.sizes = new SeededRandom(options.seed + 1);
  }

  /** Previews that arrive in the tick that ends at `nowMs`. */
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

  /** The next batch render; renders come in the same order for each policy. */
  render(nowMs: number): ColocationJob {
    // Accelerators are few; as many animations as others would only wait.
    const isAnimation = this.sizes.next() < ANIMATION_FRACTION;
    const last = RENDERS.length - 1;
    const profile = RENDERS[isAnimation ? last : this.sizes.nextInteger(last)]!;
    return this.createJob(profile, {random: this.sizes, nowMs});
  }

  /** Watchers in groups of three. */
  watchers(count: number): ColocationJob[] {
    return [...Array(count).keys()].map((i) => ({
      ...this.createJob(WATCHER, {random: this.sizes, nowMs: 0}),
      spreadGroup: `watchers-${Math.floor(i / 3)}`,
      fails: false,
    }));
  }

  /** Slowdown of a kind by its neighbours; shifts with time and load. */
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

/** Factor around 1 that varies by up to `part` to either side. */
function randomFactor(random: RandomSource, variation: number): number {
  return 1 + variation * (random.next() + random.next() - 1);
}

function roundProcessors(processors: number): number {
  return Math.max(0.1, Math.round(processors * 10) / 10);
}

function swapNoisyKinds(kind: string): string {
  if (kind === 'render-poster') return LATER_NOISY_KIND;
  return kind === LATER_NOISY_KIND ? 'render-poster' : kind;
}
