import {simpleJob, simpleStep, simpleWorker} from './simple_definitions.js';
import {
  SimulatedPartition,
  SimulatedPartitionOptions,
} from './simulated_partition.js';
import {RandomSource} from '../src/random/random_source.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {JobDefinition, StepDefinition} from '../src/work/job_definition.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';
import {RunningReport} from '../src/orchestrator/workers/worker_port.js';

/** Options of {@link simulateCalmPhases}. */
export interface CalmPhasesOptions extends SimulatedPartitionOptions {
  /** Creates the steps of a job. @default steps of all kinds */
  createSteps?: (random: RandomSource) => StepDefinition[];
}

/** Fractions of their full capacity to which many workers shrink at once. */
const SHRUNKEN_FRACTIONS = [0, 0.1, 0.3, 0.55] as const;

/** Tail latencies in ms by image; the target is 50 ms. */
const TAILS_MS: Readonly<Record<string, number | undefined>> = {
  light: 12,
  busy: 40,
  overloaded: 70,
};

/** Time in ms of one phase with faults, and of the calm phase after it. */
const FAULTS_MS = 4000;
const CALM_MS = 14_000;

function pick<T>(random: RandomSource, values: readonly T[]): T {
  return values[random.nextInteger(values.length)]!;
}

function measure(
  step: StepDefinition,
  ageMs: number,
): Pick<RunningReport, 'percent' | 'gauge'> {
  const percent = step.isLongRunning ? 100 : Math.floor(ageMs / 100) % 100;
  const isServing = step.tailTargetMs > 0;
  const gauge = isServing ? TAILS_MS[step.image!] : step.cpuMillicores;
  return {percent, gauge};
}

/** Returns steps of the kinds for which a worker may be left out. */
function randomSteps(random: RandomSource): StepDefinition[] {
  const taskCount = 1 + random.nextInteger(4);
  const cpuMillicores = 500 * (1 + random.nextInteger(8));
  const memoryMb = 500 * (1 + random.nextInteger(16));
  const small = {taskCount, cpuMillicores: 500, memoryMb: 500};
  const sized = {taskCount, cpuMillicores, memoryMb};
  const image = pick(random, Object.keys(TAILS_MS));
  const serving = {isLongRunning: true, tailTargetMs: 50, image};
  const bestEffort = {
    usesLeftoverCpu: true,
    image: pick(random, ['fill0', 'fill1']),
  };
  return pick<Array<Partial<StepDefinition>>>(random, [
    [small, {...sized, after: [0]}],
    [sized, {...small, mostPerWorker: 1}],
    [{...sized, mostPerWorker: 1}, sized],
    [{...sized, ...bestEffort}],
    [
      {...sized, ...bestEffort},
      {...small, ...bestEffort, after: [0]},
    ],
    [{...small, ...serving}],
    [
      {...sized, ...serving, mostPerWorker: 1},
      {...small, ...serving},
    ],
    [{...sized, isLongRunning: true}],
    [
      {...small, isGang: true},
      {...sized, after: [0]},
    ],
    [{...small, requiredLabel: 'a'}, sized],
    [
      {...small, affinityRack: 'r1'},
      {...small, isRackSensitive: true},
    ],
  ]).map((fields) => simpleStep(fields));
}

/** Returns latency-critical steps on most workers, and best-effort ones. */
export function randomColocatedSteps(random: RandomSource): StepDefinition[] {
  const cpuMillicores = 500 * (1 + random.nextInteger(8));
  const memoryMb = 500 * (1 + random.nextInteger(8));
  const image = pick(random, Object.keys(TAILS_MS));
  const serving = {isLongRunning: true, tailTargetMs: 50, image};
  const bestEffort = {usesLeftoverCpu: true, image: 'fill'};
  const taskCount = 1 + random.nextInteger(8);
  const fields: Partial<StepDefinition> =
    random.next() < 0.4
      ? {cpuMillicores, taskCount, mostPerWorker: 1, ...serving}
      : {cpuMillicores: 2 * cpuMillicores, memoryMb, ...bestEffort};
  return [simpleStep(fields)];
}

function randomJob(
  id: string,
  random: RandomSource,
  steps: readonly StepDefinition[],
): JobDefinition {
  const isRepeated = random.next() < 0.15;
  const repetition = {
    repetitions: 4,
    firstRunMs: 1_000_000,
    intervalMs: 3000,
  };
  return simpleJob(id, {
    steps,
    ...(isRepeated ? repetition : {}),
  });
}

function randomWorker(random: RandomSource): Partial<WorkerRegistration> {
  const {capacity} = simpleWorker('w');
  const scale = pick(random, [0.25, 1, 1, 2]);
  return {
    capacity: {
      ...capacity,
      cpuMillicores: capacity.cpuMillicores * scale,
      memoryMb: capacity.memoryMb * scale,
    },
    labels: [pick(random, ['a', 'b']), pick(random, ['r1', 'r2'])],
  };
}

/**
 * Runs a partition with random workers and jobs of all kinds through phases with
 * faults, after each of which many workers shrink and a calm phase follows.
 */
export function simulateCalmPhases(
  seed: number,
  options: Partial<CalmPhasesOptions> = {},
): SimulatedPartition {
  const {createSteps = randomSteps, ...partitionOptions} = options;
  const random = new SeededRandom(seed * 7919);
  const workers = 2 + random.nextInteger(7);
  const fields = Array.from({length: workers}, () => randomWorker(random));
  const partition = new SimulatedPartition({
    seed,
    workers,
    maxAttempts: 50,
    capacityChangeRate: 0.02,
    crashRate: 0.005,
    keepsIdAfterCrash: random.next() < 0.5,
    workerFields: (machine) => fields[machine]!,
    measure,
    ...partitionOptions,
  });
  for (let phase = 0; phase < 3; phase++) {
    for (let number = 0; number < 4; number++) {
      const id = `job${phase}${number}`;
      partition.submit(randomJob(id, random, createSteps(random)));
    }
    partition.runWithFaults(FAULTS_MS);
    const share = random.next();
    const fraction = pick(random, SHRUNKEN_FRACTIONS);
    for (const id of partition.workers.keys()) {
      if (random.next() < share) partition.resize(id, fraction);
    }
    partition.runCalm(CALM_MS);
  }
  return partition;
}
