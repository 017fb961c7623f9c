/** What an executor reports about itself at `GET /-/executor`. */
export interface TargetStatus {
  target: string;
  /** Differs for each start of the executor. */
  incarnation: string;
  /** Highest epoch the executor has seen. */
  epoch: number;
  /** Requests it may run at once. */
  slots: number;
  /** Requests that run now, by the epoch they came with. */
  slotsInUseByEpoch: Record<string, number>;
  /** Connections open now. */
  connections: number;
  /** Connections it accepts. */
  maxConnections: number;
  /** True once it takes no new work. */
  leaving: boolean;
}

/** Header with the epoch of the owner that sends a request. */
export const EPOCH_HEADER = 'banyanmux-epoch';

/** Header in which an executor gives why it refused before starting. */
export const REFUSED_HEADER = 'executor-refused';
