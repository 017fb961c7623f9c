import {z} from 'zod';

const port = z.int().min(0).max(65_535);
const ipAddress = z.union([z.ipv4(), z.ipv6()], {
  error: 'allowed: an IP address',
});

/** Address at which a member of the installation listens for links. */
export const memberSchema = z.strictObject({
  /** Unique name; the order of names numbers the members. */
  member: z.string().min(1),
  dataCentre: z.string().min(1),
  host: ipAddress,
  /** Port of the entry's HTTP interface for callers and operators. */
  entryHttpPort: port,
  /** Port for links to the entry process. */
  entryLinkPort: port,
  /** Port for links to the scheduler process. */
  schedulerLinkPort: port,
});

/** A member as settings name it. */
export type MemberAddress = z.infer<typeof memberSchema>;

/** Settings that the entry and the scheduler share. */
export const processSettingsSchema = z.strictObject({
  /** Name of this member; must occur in `members`. */
  member: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
  /** Secret for the links between own processes; 16 or more characters. */
  linkToken: z.string().min(16),
  /** Entry VMs of all data centres. */
  members: z.array(memberSchema).min(1),
  platform: z.strictObject({
    /** Base address, for example "http://10.0.0.5:2400". */
    origin: z.url(),
    /** Longest wait for a call in ms. */
    timeoutMs: z.int().min(10).max(60_000).default(1000),
    /** Calls per second that background work may make. */
    callsPerSecond: z.number().positive().max(500).default(20),
    /** Time between reads of the VM list in ms. */
    vmListIntervalMs: z.int().min(100).max(60_000).default(1000),
  }),
  membership: z
    .strictObject({
      /** Time between heartbeats in ms. */
      heartbeatMs: z.int().min(20).max(10_000).default(400),
      /** Silence in ms after which a member is suspected. */
      suspectAfterMs: z.int().min(50).max(60_000).default(1200),
      /** Time in ms a joining member is up before it gets shards. */
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

/** Checked settings that the entry and the scheduler share. */
export type ProcessSettings = z.infer<typeof processSettingsSchema>;
