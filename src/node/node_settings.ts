import {z} from 'zod';

import {doorLimitsSchema} from '../door/door_limits.js';

const address = z.string().regex(/^[^\s:]+:\d+$/, 'allowed: HOST:PORT');

const milliseconds = z.number().positive().max(3_600_000);

/** Settings of the node program. */
export const nodeSettingsSchema = z.strictObject({
  /** Unique name of this node. */
  node: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  /** Address of the job API for clients. */
  callers: address,
  /** Address for links from other nodes while this node owns a partition. */
  links: address,
  /** Address of the load balancer's readiness probe. */
  readiness: address,
  /** Address of the metrics endpoint, in Prometheus text format. */
  metrics: address,
  store: z.strictObject({address}),
  /** Service that decides which workers may run a step. @default none */
  advice: z.strictObject({address}).optional(),
  /** Partition (a group of services) whose jobs this node serves. */
  partition: z.string().min(1).default('main'),
  workers: z.strictObject({
    /** Maximum lease in ms that a worker grants. */
    longestLeaseMs: milliseconds,
    /**
     * Time in ms after the registration of a worker says that it drains from
     * which on it is given no start.
     */
    drainNoticeMs: milliseconds.default(2000),
  }),
  operators: z
    .strictObject({
      /**
       * Time in ms after the request of an evacuation from which on nothing
       * starts in its data centre, also while the store is out of reach.
       * @default no bound while the store is out of reach
       */
      evacuationNoticeMs: milliseconds.optional(),
    })
    .prefault({}),
  /** Bounds on what clients can hold. */
  door: doorLimitsSchema.prefault({}),
  scheduling: z
    .strictObject({
      /**
       * Order of waiting jobs: by deadlines from declared run times, or by
       * deadlines from learned run times, ending what has begun first.
       */
      order: z.enum(['deadline', 'learned-deadline']).default('deadline'),
      /**
       * Whether most scheduling passes look at the most urgent queues only while
       * many jobs wait.
       */
      urgentPasses: z.boolean().default(false),
      /**
       * Whether fewer starts that are not urgent are open while answers to
       * starts are late, because the owner is full.
       */
      adaptiveStarts: z.boolean().default(false),
      /**
       * Whether room is held for tasks that are too large for the gaps which
       * others leave; needs the order "learned-deadline".
       */
      lookAhead: z.boolean().default(false),
    })
    .prefault({}),
  jobs: z.strictObject({
    /**
     * Retention time of finished jobs in seconds; at least as long as a
     * submission of the job may be under way.
     */
    keepFinishedSeconds: z.number().positive().max(86_400),
  }),
  stop: z.strictObject({
    /** Time in seconds from SIGTERM until the platform kills the process. */
    gracePeriodSeconds: z.number().positive().max(600),
  }),
  /** Processing capacity of the VM. */
  processor: z
    .strictObject({
      /** Number of cores that the program may use; may be a fraction. */
      share: z.number().positive().max(1024).default(1),
      /** Speed of a core as a multiple of an ordinary one. */
      speed: z.number().positive().max(1024).default(1),
    })
    .prefault({}),
  owner: z
    .strictObject({
      /**
       * Processing capacity, in ordinary cores, below which a node delays its
       * candidacy as owner.
       */
      leastProcessors: z.number().min(0).max(1024).default(0.5),
      /** Delay in ms of the candidacy of nodes below `leastProcessors`. */
      patienceMs: milliseconds.default(500),
      /** Lease in ms after which an owner that does not renew is replaced. */
      termLeaseMs: milliseconds.default(2000),
    })
    .prefault({}),
  logging: z
    .strictObject({
      level: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info'),
      /** Maximum decision log lines per second; the excess is only counted. */
      linesPerSecond: z.int().min(1).max(100_000).default(400),
    })
    .prefault({}),
});

/** Validated settings of the node program. */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;

/** Splits an address of the form "HOST:PORT". */
export function splitAddress(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
