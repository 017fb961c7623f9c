/** How a run ended, as reported by its worker. */
export const EndKind = {
  DONE: 'done',
  FAILED: 'failed',
  STOPPED: 'stopped',
  /** The lease of the worker expired. */
  LEASE_ENDED: 'lease-ended',
  /** Another member of the gang ended. */
  GANG_BROKEN: 'gang-broken',
  /** The other members of the gang did not start in time. */
  GANG_INCOMPLETE: 'gang-incomplete',
} as const;

/** One of the values of {@link EndKind}. */
export type EndKind = (typeof EndKind)[keyof typeof EndKind];

/** Report of an active run. */
export interface RunningReport {
  task: string;
  run: number;
  checkpoint: string;
  /** Progress of a finite task; 100 for a latency-critical task at work. */
  percent: number;
  /** Tail latency in ms of a latency-critical task; CPU use of others. */
  gauge: number | undefined;
}

/** Report of a run that has ended. */
export interface EndReport {
  /** Sequence number, increasing within one incarnation of the worker. */
  sequence: number;
  task: string;
  run: number;
  kind: EndKind;
  checkpoint: string;
}

/** Report of a worker in response to a poll. */
export interface WorkerReport {
  /** Monotonic clock of the worker in ms. */
  clockMs: number;
  /** Unix time in ms at which this incarnation of the worker started. */
  bornMs: number | undefined;
  running: readonly RunningReport[];
  ended: readonly EndReport[];
  /**
   * Whether the worker may hold further ends that did not fit this report. A
   * run that such a report does not list may have ended. @default false
   */
  mayOmitEnds?: boolean;
}

/** Why a worker refused a command. */
export const RefusalReason = {
  /** The worker has received a higher fencing token. */
  FENCED: 'fenced',
  /** The run number is not above that of a run that was stopped or ended. */
  OLD_RUN: 'old-run',
  /** The deadline of the command has passed. */
  LATE: 'late',
  /** The worker lacks free capacity. */
  NO_ROOM: 'no-room',
  /** The ticket of the advice service is missing or invalid. */
  TICKET: 'ticket',
  /** Another incarnation of the worker responded. */
  OTHER_INCARNATION: 'other-incarnation',
  /** Not sent: the lease of the owner's term may have ended. */
  TERM_UNCERTAIN: 'term-uncertain',
  /** Not sent: no connection to the worker could be opened. */
  UNREACHABLE: 'unreachable',
  /** The worker is unhealthy and ignored the command. */
  UNHEALTHY: 'unhealthy',
  /** The command is malformed or unknown. */
  INVALID: 'invalid',
} as const;

/** One of the values of {@link RefusalReason}. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** Outcome of a command; `unknown` if it may still have taken effect. */
export type CommandOutcome =
  | {
      kind: 'done';
      /** Monotonic clock of the worker in ms. @default not reported */
      clockMs?: number;
    }
  | {kind: 'refused'; reason: RefusalReason}
  | {kind: 'unknown'; reason: string};

/** Worker that a command is sent to. */
export interface WorkerAddress {
  id: string;
  /** Host and port. */
  address: string;
}

/** Command to start a run. */
export interface StartCommand {
  worker: WorkerAddress;
  task: string;
  run: number;
  specification: string;
  /** End of the lease in ms on the clock of the worker. */
  leaseUntilMs: number;
  fencingToken: number;
  /** Progress to resume from. @default none */
  checkpoint?: string;
  /** Ticket of the advice service. @default none */
  ticket?: string;
  /**
   * Returns whether the command may still be sent; it may wait for a connection
   * first. @default it may
   */
  isPermitted?: () => boolean;
}

/** Command about an existing run. */
export interface RunCommand {
  worker: WorkerAddress;
  task: string;
  run: number;
  fencingToken: number;
}

/** Command that extends the lease of a worker and requests a report. */
export interface PollCommand {
  worker: WorkerAddress;
  fencingToken: number;
  /**
   * Sequence number up to which the worker may discard its ends; 0 for none.
   * The poll fails unless it reaches the incarnation that sent the latest
   * report.
   */
  acknowledgedSequence: number;
  /** End of the lease in ms on the worker clock. @default unchanged */
  leaseUntilMs?: number;
  /** Maximum time in ms to wait for the end of a run. @default 0 */
  waitMs?: number;
}

/** Outcome of a poll. */
export type PollOutcome =
  | {kind: 'report'; report: WorkerReport}
  | {kind: 'refused'; reason: RefusalReason}
  | {
      kind: 'unknown';
      reason: string;
      /**
       * Whether the worker was silent, so that it may have stopped to run at
       * any time since its latest answer.
       *
       * @default false
       */
      hasTimedOut?: boolean;
    };

/** Client for commands to workers. Its promises never reject. */
export interface WorkerPort {
  /** Starts a run. */
  start(command: StartCommand): Promise<CommandOutcome>;
  /** Stops a run. */
  stop(command: RunCommand): Promise<CommandOutcome>;
  /** Limits the speed of a run to a percentage from 0 to 100. */
  setSpeedLimit(
    command: RunCommand & {percent: number},
  ): Promise<CommandOutcome>;
  /** Extends the lease of a worker and returns its report. */
  poll(command: PollCommand): Promise<PollOutcome>;
}
