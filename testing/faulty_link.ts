import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';

import {RandomSource} from '../src/random/random_source.js';
import {SeededRandom} from '../src/random/seeded_random.js';

/** Faults applied to one direction of a link. */
export interface DirectionFaults {
  /** Fixed delay of each chunk in ms. @default 0 */
  delayMs?: number;
  /** Upper bound in ms of the random delay added to `delayMs`. @default 0 */
  jitterMs?: number;
  /**
   * Fraction of chunks delayed by `stallMs`, like a lost packet that TCP has to
   * retransmit.
   *
   * @default 0
   */
  loss?: number;
  /** Additional delay of a stalled chunk in ms. @default 200 */
  stallMs?: number;
  /** Discards all data but keeps the connection open. @default false */
  silent?: boolean;
}

/** Faults applied to a link. */
export interface LinkFaults {
  /** Faults from the connecting side to the listening side. */
  forward?: DirectionFaults;
  /** Faults from the listening side to the connecting side. */
  backward?: DirectionFaults;
  /** Closes open connections and rejects new ones. @default false */
  cut?: boolean;
  /**
   * Discards all further data on the connections that are open now, while new
   * connections work, as when a middlebox loses its connection table.
   *
   * @default false
   */
  forgetOpen?: boolean;
}

/** Options of {@link FaultyLink}. */
export interface FaultyLinkOptions {
  /** Port on 127.0.0.1 to which connections are relayed. */
  targetPort: number;
  /** Seed of the random jitter and loss. @default 1 */
  seed?: number;
}

/** Delayed bytes of one direction above which reading from the source pauses. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

interface ConnectionPair {
  /** Accepted connection. */
  near: Socket;
  /** Outgoing connection to the target port. */
  far: Socket;
  isBlackholed: boolean;
}

/** TCP proxy that injects faults into the connections it relays. */
export class FaultyLink {
  private faults: LinkFaults = {};
  private readonly server: Server;
  private readonly pairs = new Set<ConnectionPair>();
  private readonly random: RandomSource;

  constructor(private readonly options: FaultyLinkOptions) {
    this.random = new SeededRandom(options.seed ?? 1);
    this.server = createServer((near) => this.accept(near));
  }

  /** Listens on 127.0.0.1; returns the port, chosen by the system if 0. */
  listen(port = 0): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Replaces the faults, also for open connections. */
  setFaults(faults: LinkFaults): void {
    this.faults = faults;
    for (const pair of [...this.pairs]) {
      if (faults.cut) this.closePair(pair);
      if (faults.forgetOpen) pair.isBlackholed = true;
    }
  }

  /** Closes all connections and stops listening. */
  stop(): Promise<void> {
    for (const pair of [...this.pairs]) this.closePair(pair);
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(near: Socket): void {
    if (this.faults.cut) {
      near.destroy();
      return;
    }
    const far = connect({host: '127.0.0.1', port: this.options.targetPort});
    const pair: ConnectionPair = {near, far, isBlackholed: false};
    this.pairs.add(pair);
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', () => this.closePair(pair));
      socket.on('close', () => this.closePair(pair));
    }
    this.relay(pair, 'forward');
    this.relay(pair, 'backward');
  }

  private relay(pair: ConnectionPair, direction: 'forward' | 'backward'): void {
    const [from, to] =
      direction === 'forward' ? [pair.near, pair.far] : [pair.far, pair.near];
    let lastDueMs = 0;
    let bufferedBytes = 0;
    from.on('data', (chunk: Buffer) => {
      const faults = this.faults[direction] ?? {};
      if (pair.isBlackholed || faults.silent) return;
      const dueMs = Math.max(
        lastDueMs,
        performance.now() + this.drawDelayMs(faults),
      );
      lastDueMs = dueMs;
      bufferedBytes += chunk.length;
      if (bufferedBytes > MAX_BUFFERED_BYTES) from.pause();
      const deliver = (): void => {
        bufferedBytes -= chunk.length;
        if (bufferedBytes <= MAX_BUFFERED_BYTES) from.resume();
        if (!pair.isBlackholed && !to.destroyed) to.write(chunk);
      };
      const waitMs = dueMs - performance.now();
      if (waitMs <= 0) deliver();
      else setTimeout(deliver, waitMs);
    });
    from.on('end', () => {
      const waitMs = Math.max(0, lastDueMs - performance.now());
      setTimeout(() => to.end(), waitMs);
    });
  }

  private drawDelayMs(faults: DirectionFaults): number {
    const jitterMs = (faults.jitterMs ?? 0) * this.random.next();
    const isLost = (faults.loss ?? 0) > this.random.next();
    const stallMs = isLost ? (faults.stallMs ?? 200) : 0;
    return (faults.delayMs ?? 0) + jitterMs + stallMs;
  }

  private closePair(pair: ConnectionPair): void {
    if (!this.pairs.delete(pair)) return;
    pair.near.destroy();
    pair.far.destroy();
  }
}
