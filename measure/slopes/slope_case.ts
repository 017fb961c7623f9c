/** What one size of a case was measured to need. */
export interface SlopePoint {
  /** Bytes of memory held, or bytes on the wire for one message. */
  bytes: number;
  /** Processor time in µs for one event. */
  microseconds: number;
}

/** A quantity whose growth with one size is measured. */
export interface SlopeCase {
  /** Role and quantity, for example 'member: heartbeat'. */
  name: string;
  /** What the size counts, for example 'peer'. */
  per: string;
  /** What `bytes` means: 'memory' or 'wire'. */
  bytesAre: 'memory' | 'wire';
  /** At least four sizes. */
  sizes: readonly number[];
  /** Measures one size. */
  run(size: number): SlopePoint;
}
