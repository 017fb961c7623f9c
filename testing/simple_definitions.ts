import {Configuration} from '../src/work/configuration.js';
import {JobDefinition, StepDefinition} from '../src/work/job_definition.js';
import {WorkerRegistration} from '../src/work/worker_registration.js';

/** Creates a step with one small task; `fields` overrides the defaults. */
export function simpleStep(
  fields: Partial<StepDefinition> = {},
): StepDefinition {
  return {
    taskCount: 1,
    cpuMillicores: 1000,
    memoryMb: 1000,
    acceleratorCount: 0,
    estimatedMs: 1000,
    after: [],
    isCheckpointed: false,
    isGang: false,
    isRackSensitive: false,
    requiredLabel: undefined,
    affinityRack: undefined,
    mostPerWorker: 0,
    isSpeculative: false,
    isLongRunning: false,
    image: undefined,
    tailTargetMs: 0,
    usesLeftoverCpu: false,
    mostUnavailable: undefined,
    ...fields,
  };
}

/** Creates a one-step job that is due now; `fields` overrides the defaults. */
export function simpleJob(
  id: string,
  fields: Partial<JobDefinition> = {},
): JobDefinition {
  return {
    id,
    queue: 'queue',
    service: 'service',
    specification: 'text',
    steps: [simpleStep()],
    repetitions: 0,
    firstRunMs: 0,
    intervalMs: 0,
    ...fields,
  };
}

/** Creates the registration of a worker; `fields` overrides the defaults. */
export function simpleWorker(
  id: string,
  fields: Partial<WorkerRegistration> = {},
): WorkerRegistration {
  return {
    id,
    service: 'service',
    address: '127.0.0.1:1',
    dataCentre: 'levis',
    isDraining: false,
    remainingMs: undefined,
    capacity: {cpuMillicores: 8000, memoryMb: 16_000, acceleratorCount: 0},
    labels: ['a', 'r1'],
    bornMs: 1,
    ...fields,
  };
}

/** Creates a configuration with one queue and one service. */
export function simpleConfiguration(maxAttempts = 3): Configuration {
  return {
    version: 1,
    queues: [
      {
        name: 'queue',
        host: 'host',
        prefix: '/queue/',
        service: 'service',
        priority: 0,
        maxAttempts,
        stretch: 2,
        targetLatencyMs: 1000,
        timeoutMs: 3000,
        needsAdvice: false,
      },
    ],
    services: [{name: 'service', guardsCapacity: true}],
    maxBodyBytes: 262_144,
  };
}
