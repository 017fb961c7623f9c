/** Measured cost of a case at one size. */
export interface SlopePoint {
  /** Bytes of memory held, or bytes on the wire for one message. */
  bytes: number;
  /** CPU time in µs of one event. */
  microseconds: number;
}

/** Cost whose growth with a size is measured. */
export interface SlopeCase {
  /** Role and cost, for example 'member: heartbeat'. */
  name: string;
  /** Unit of the size, for example 'peer'. */
  per: string;
  /** Whether `bytes` is held in memory or sent on the wire. */
  bytesAre: 'memory' | 'wire';
  /** Sizes to measure, at least four. */
  sizes: readonly number[];
  /** Measures the cost at one size. */
  run(size: number): SlopePoint;
}
