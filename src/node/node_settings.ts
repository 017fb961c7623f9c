import {z} from 'zod';

const address = z.string().regex(/^[^\s:]+:\d+$/, 'allowed: HOST:PORT');

const milliseconds = z.number().positive().max(3_600_000);

/** Settings of the node program. */
export const nodeSettingsSchema = z.strictObject({
  /** Unique name of this node. */
  node: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  /** Address for callers. */
  callers: address,
  /** Address for links from other nodes while this node owns a partition. */
  links: address,
  /** Address at which the balancer asks whether the node is ready. */
  readiness: address,
  /** Host and port of the metrics in Prometheus text. */
  metrics: address,
  store: z.strictObject({address}),
  /** Service that knows which workers may run a step. @default none */
  advice: z.strictObject({address}).optional(),
  /** Partition of services whose jobs this node serves. */
  partition: z.string().min(1).default('main'),
  workers: z.strictObject({
    /** Longest lease in ms that a worker grants. */
    longestLeaseMs: milliseconds,
  }),
  jobs: z.strictObject({
    /** Time in seconds for which a finished job stays known. */
    keepFinishedSeconds: z.number().positive().max(86_400),
  }),
  stop: z.strictObject({
    /** Time in seconds from SIGTERM until the platform kills the process. */
    gracePeriodSeconds: z.number().positive().max(600),
  }),
  /** Processor of the VM. */
  processor: z
    .strictObject({
      /** Share of a core that the program may use. */
      share: z.number().positive().max(1024).default(1),
      /** Speed of that core as a multiple of an ordinary one. */
      speed: z.number().positive().max(1024).default(1),
    })
    .prefault({}),
  owner: z
    .strictObject({
      /** Processors in ordinary cores below which others go first. */
      leastProcessors: z.number().min(0).max(1024).default(0.5),
      /** Time in ms by which nodes with less let others go first. */
      patienceMs: milliseconds.default(500),
      /** Time in ms after which a silent owner is replaced. */
      termLeaseMs: milliseconds.default(2000),
    })
    .prefault({}),
  logging: z
    .strictObject({
      level: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info'),
      /** Lines of decisions a second; more are counted and left out. */
      linesPerSecond: z.int().min(1).max(100_000).default(400),
    })
    .prefault({}),
});

/** Checked settings of the node program. */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;

/** Splits "HOST:PORT". */
export function splitAddress(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
