/** Status that an executor reports at `GET /-/executor`. */
export interface TargetStatus {
  target: string;
  /** Unique for each start of the executor. */
  incarnation: string;
  /** Highest epoch that the executor has received. */
  epoch: number;
  /** Number of requests it may run concurrently. */
  slots: number;
  /** Number of running requests by the epoch under which they were sent. */
  slotsInUseByEpoch: Record<string, number>;
  /** Number of open connections. */
  connections: number;
  /** Maximum number of connections. */
  maxConnections: number;
  /** True once it accepts no new requests. */
  leaving: boolean;
}

/** Request header with the epoch of the owner that sends the request. */
export const EPOCH_HEADER = 'banyanmux-epoch';

/** Response header with the reason why an executor refused a request. */
export const REFUSED_HEADER = 'executor-refused';
