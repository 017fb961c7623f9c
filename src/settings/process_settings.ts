import {z} from 'zod';

const port = z.int().min(0).max(65_535);
const ipAddress = z.union([z.ipv4(), z.ipv6()], {
  error: 'allowed: an IP address',
});

/** A member of the installation: one entry VM, and the ports it listens on. */
export const memberSchema = z.strictObject({
  /** Unique name; members are numbered in the order of their names. */
  member: z.string().min(1),
  dataCentre: z.string().min(1),
  host: ipAddress,
  /** Port of the entry process's HTTP API for callers and operators. */
  entryHttpPort: port,
  /** Port for links to the entry process. */
  entryLinkPort: port,
  /** Port for links to the scheduler process. */
  schedulerLinkPort: port,
});

/** Validated settings of one member. */
export type MemberAddress = z.infer<typeof memberSchema>;

/** Settings that the entry and scheduler processes share. */
export const processSettingsSchema = z.strictObject({
  /** Name of this member; must occur in `members`. */
  member: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  /** Shared secret of the links between processes; at least 16 characters. */
  linkToken: z.string().min(16),
  /** Entry VMs of all data centres. */
  members: z.array(memberSchema).min(1),
  platform: z.strictObject({
    /** Base URL, such as "http://10.0.0.5:2400". */
    origin: z.url(),
    /** Request timeout in ms. */
    timeoutMs: z.int().min(10).max(60_000).default(1000),
    /** Maximum requests per second of background work. */
    callsPerSecond: z.number().positive().max(500).default(20),
    /** Interval in ms between reads of the VM list. */
    vmListIntervalMs: z.int().min(100).max(60_000).default(1000),
  }),
  membership: z
    .strictObject({
      /** Interval in ms between heartbeats. */
      heartbeatMs: z.int().min(20).max(10_000).default(400),
      /** Time in ms without a heartbeat after which a member is suspected. */
      suspectAfterMs: z.int().min(50).max(60_000).default(1200),
      /** Time in ms that a joining member must be up before it gets shards. */
      joinAfterMs: z.int().min(0).max(60_000).default(3000),
    })
    .prefault({}),
  logging: z
    .strictObject({
      level: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info'),
    })
    .prefault({}),
});

/** Validated settings that the entry and scheduler processes share. */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
