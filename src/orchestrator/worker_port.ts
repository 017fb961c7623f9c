/** How a run ended, as its worker lists it. */
export const EndKind = {
  DONE: 'done',
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The lease ran out. */
  LEASE_ENDED: 'lease-ended',
  /** Another member of the gang ended. */
  GANG_BROKEN: 'gang-broken',
  /** The other members of the gang did not come in time. */
  GANG_INCOMPLETE: 'gang-incomplete',
} as const;

/** One of the values of {@link EndKind}. */
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** A run that is on a worker. */
export interface RunningReport {
  task: string;
  run: number;
  checkpoint: string;
  /** Progress of a task that ends; 100 for one that serves and is at work. */
  percent: number;
  /** Tail latency in ms of a task that serves, else processors in use. */
  gauge: number | undefined;
}

/** A run that has ended on a worker. */
export interface EndReport {
  /** Rises with each end in one life of the worker. */
  sequence: number;
  task: string;
  run: number;
  kind: EndKind;
  checkpoint: string;
}

/** What a worker lists. */
export interface WorkerReport {
  /** Steady clock of the worker in ms. */
  clockMs: number;
  /** Unix time in ms at which this life of the worker began. */
  bornMs: number | undefined;
  running: readonly RunningReport[];
  ended: readonly EndReport[];
}

/** Why a worker did not carry out an order. */
export const RefusalReason = {
  /** A higher fencing token was seen. */
  FENCED: 'fenced',
  /** The run number is not higher than one that stopped or ended. */
  OLD_RUN: 'old-run',
  /** The deadline of the order has passed. */
  LATE: 'late',
  /** It does not fit. */
  NO_ROOM: 'no-room',
  /** The ticket of the advice service is missing or not valid. */
  TICKET: 'ticket',
  /** Another life of the worker answers. */
  OTHER_INCARNATION: 'other-incarnation',
  /** The worker is unhealthy and has done nothing. */
  UNHEALTHY: 'unhealthy',
  /** The order is malformed or unknown. */
  INVALID: 'invalid',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Answer to an order; `unknown` if it may or may not be carried out. */
export type CommandOutcome =
  | {
      kind: 'done';
      /** Steady clock of the worker in ms. @default not given */
      clockMs?: number;
    }
  | {kind: 'refused'; reason: RefusalReason}
  | {kind: 'unknown'; reason: string};

/** A worker that is addressed. */
export interface WorkerAddress {
  id: string;
  /** Host and port. */
  address: string;
}

/** Order to start a run. */
export interface StartCommand {
  worker: WorkerAddress;
  task: string;
  run: number;
  specification: string;
  /** Lease limit on the worker's clock in ms. */
  leaseUntilMs: number;
  fencingToken: number;
  /** Progress to resume from. @default none */
  checkpoint?: string;
  /** Permission of the advice service. @default none */
  ticket?: string;
}

/** Order about a run that was started. */
export interface RunCommand {
  worker: WorkerAddress;
  task: string;
  run: number;
  fencingToken: number;
}

/** Order that extends the lease of a worker and asks for its lists. */
export interface PollCommand {
  worker: WorkerAddress;
  fencingToken: number;
  /** Ends up to this one may be forgotten by the worker. */
  acknowledgedSequence: number;
  /** Lease limit on the worker's clock in ms. @default unchanged */
  leaseUntilMs?: number;
  /** Longest time in ms the answer waits for an end. @default 0 */
  waitMs?: number;
}

/** Answer to a look. */
export type PollOutcome =
  | {kind: 'report'; report: WorkerReport}
  | {kind: 'refused'; reason: RefusalReason}
  | {kind: 'unknown'; reason: string};

/** Orders to workers. Methods do not reject. */
export interface WorkerPort {
  start(command: StartCommand): Promise<CommandOutcome>;
  stop(command: RunCommand): Promise<CommandOutcome>;
  /** Lets a task work at a share of its speed from 0 to 100 percent. */
  setSpeedLimit(
    command: RunCommand & {percent: number},
  ): Promise<CommandOutcome>;
  poll(command: PollCommand): Promise<PollOutcome>;
}
