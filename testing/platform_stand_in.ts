import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';

import {sleep} from '../src/clock/sleep.js';
import {
  PlatformChange,
  PlatformEntry,
  VmEntry,
} from '../src/platform/platform_service.js';
import {RandomSource} from '../src/random/random_source.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {readJson, writeJson} from './stand_in_http.js';

/** Faults that the stand-in injects. */
export interface PlatformFaults {
  /** Closes connections unanswered, except for `/control`. @default false */
  down?: boolean;
  /** Additional delay of each response in ms. @default 0 */
  delayMs?: number;
  /** Fraction of writes that take effect but get no response. @default 0 */
  loseAnswers?: number;
}

/** Options of {@link PlatformStandIn}. */
export interface PlatformStandInOptions {
  /** Seed for choosing the responses to lose. @default 1 */
  seed?: number;
  /** Delay in ms until a change of the VM list becomes visible. @default 1000 */
  vmListLagMs?: number;
}

/** Number of requests that the stand-in has received. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  /** Maximum number of reads within one second. */
  peakReadsPerSecond: number;
  /** Maximum number of writes within one second. */
  peakWritesPerSecond: number;
}

interface StoredEntry extends PlatformEntry {
  expiresAtMs: number | undefined;
}

interface PendingWatch {
  prefix: string;
  since: number;
  answer(): void;
}

const MAX_VALUE_BYTES = 1024 * 1024;
/** Number of changes kept for watches. */
const MAX_HISTORY_CHANGES = 100_000;

/**
 * HTTP stand-in for the platform: a key-value store with compare-and-swap,
 * expiring keys and watches, and a VM list whose changes become visible with a
 * delay. Counts requests and injects faults.
 */
export class PlatformStandIn {
  faults: PlatformFaults = {};
  readonly counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    peakReadsPerSecond: 0,
    peakWritesPerSecond: 0,
  };
  private readonly values = new Map<string, StoredEntry>();
  private readonly changes: PlatformChange[] = [];
  private readonly pendingWatches = new Set<PendingWatch>();
  private readonly server: Server;
  private readonly random: RandomSource;
  private readonly vmListLagMs: number;
  private vms: VmEntry[] = [];
  private visibleVms: VmEntry[] = [];
  private visibleVersion = 0;
  private revision = 0;
  private currentSecond = {startMs: 0, reads: 0, writes: 0};

  constructor(options: PlatformStandInOptions = {}) {
    this.random = new SeededRandom(options.seed ?? 1);
    this.vmListLagMs = options.vmListLagMs ?? 1000;
    this.server = createServer((message, response) => {
      void this.handle(message, response).catch(() => response.destroy());
    });
  }

  /** Starts to listen; returns the port, chosen by the system if 0. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, host, () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Closes all connections and stops listening. */
  stop(): Promise<void> {
    this.server.closeAllConnections();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  /** Replaces the faults; `down` also closes open connections. */
  setFaults(faults: PlatformFaults): void {
    this.faults = faults;
    if (faults.down) this.server.closeAllConnections();
  }

  /** Replaces the VM list; clients see the change after `vmListLagMs`. */
  setVms(vms: VmEntry[]): void {
    this.vms = vms;
    setTimeout(() => {
      this.visibleVms = vms;
      this.visibleVersion += 1;
    }, this.vmListLagMs).unref();
  }

  /** Returns the VM list including changes that are not yet visible. */
  actualVms(): VmEntry[] {
    return this.vms;
  }

  private async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://platform');
    if (url.pathname === '/control') {
      await this.handleControl(message, response);
      return;
    }
    if (this.faults.down) {
      response.destroy();
      return;
    }
    this.countCall(message.method === 'GET');
    if (this.faults.delayMs) await sleep(this.faults.delayMs);
    if (url.pathname.startsWith('/kv/')) {
      await this.handleKey(decodeURIComponent(url.pathname.slice(4)), {
        message,
        response,
        url,
      });
    } else if (url.pathname === '/kv') {
      this.removeExpired();
      const prefix = url.searchParams.get('prefix') ?? '';
      const entries = [...this.values.values()]
        .filter((entry) => entry.key.startsWith(prefix))
        .map(toEntry);
      writeJson(response, 200, {entries, revision: this.revision});
    } else if (url.pathname === '/watch') {
      this.handleWatch(url, response);
    } else if (url.pathname === '/vms') {
      this.handleVmList(message, response, url);
    } else {
      writeJson(response, 404, {});
    }
  }

  private handleVmList(
    message: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): void {
    const entityTag = `"${this.visibleVersion}"`;
    if (message.headers['if-none-match'] === entityTag) {
      response.writeHead(304, {etag: entityTag}).end();
      return;
    }
    const dataCentre = url.searchParams.get('dataCentre');
    const vms = this.visibleVms.filter(
      (entry) => dataCentre === null || entry.dataCentre === dataCentre,
    );
    response.setHeader('etag', entityTag);
    writeJson(response, 200, {vms});
  }

  private async handleControl(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(message)) as {
      faults?: PlatformFaults;
      vms?: VmEntry[];
    };
    // Applied after the response is sent, since `down` closes all connections.
    const {faults} = body;
    if (faults) response.once('finish', () => this.setFaults(faults));
    if (body.vms) this.setVms(body.vms);
    writeJson(response, 200, {
      counts: this.counts,
      revision: this.revision,
      vms: this.vms,
    });
  }

  private async handleKey(
    key: string,
    call: {message: IncomingMessage; response: ServerResponse; url: URL},
  ): Promise<void> {
    const {message, response, url} = call;
    this.removeExpired();
    if (message.method === 'GET') {
      const entry = this.values.get(key);
      writeJson(response, entry ? 200 : 404, entry ? toEntry(entry) : {});
      return;
    }
    const current = (): StoredEntry | undefined => this.values.get(key);
    if (message.method === 'DELETE') {
      const expected = Number(url.searchParams.get('expectedRevision'));
      if ((current()?.revision ?? 0) !== expected) {
        writeJson(response, 409, {current: toEntryOrNull(current())});
        return;
      }
      this.applyChange(key, undefined);
      this.respondToWrite(response);
      return;
    }
    const body = (await readJson(message)) as {
      value: string;
      expectedRevision: number;
      timeToLiveMs?: number;
    };
    if (body.value.length > MAX_VALUE_BYTES) {
      writeJson(response, 413, {});
      return;
    }
    if ((current()?.revision ?? 0) !== body.expectedRevision) {
      writeJson(response, 409, {current: toEntryOrNull(current())});
      return;
    }
    this.applyChange(key, body.value, body.timeToLiveMs);
    this.respondToWrite(response);
  }

  private respondToWrite(response: ServerResponse): void {
    const {loseAnswers = 0} = this.faults;
    if (loseAnswers > 0 && this.random.next() < loseAnswers) {
      response.destroy();
      return;
    }
    writeJson(response, 200, {revision: this.revision});
  }

  private applyChange(
    key: string,
    value: string | undefined,
    timeToLiveMs?: number,
  ): void {
    this.revision += 1;
    const {revision} = this;
    if (value === undefined) {
      this.values.delete(key);
    } else {
      const expiresAtMs =
        timeToLiveMs === undefined
          ? undefined
          : performance.now() + timeToLiveMs;
      this.values.set(key, {key, value, revision, expiresAtMs});
    }
    this.changes.push({key, value, revision});
    if (this.changes.length > MAX_HISTORY_CHANGES) this.changes.shift();
    for (const pendingWatch of [...this.pendingWatches]) {
      if (key.startsWith(pendingWatch.prefix)) pendingWatch.answer();
    }
  }

  private handleWatch(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const since = Number(url.searchParams.get('since') ?? '0');
    const waitMs = Number(url.searchParams.get('waitMs') ?? '10000');
    const answer = (): void => {
      clearTimeout(timer);
      this.pendingWatches.delete(pendingWatch);
      const changes = this.changes.filter(
        (change) => change.revision > since && change.key.startsWith(prefix),
      );
      writeJson(response, 200, {changes, revision: this.revision});
    };
    const pendingWatch: PendingWatch = {prefix, since, answer};
    const timer = setTimeout(answer, waitMs);
    response.on('close', () => {
      clearTimeout(timer);
      this.pendingWatches.delete(pendingWatch);
    });
    const hasChanges = this.changes.some(
      (change) => change.revision > since && change.key.startsWith(prefix),
    );
    if (hasChanges) answer();
    else this.pendingWatches.add(pendingWatch);
  }

  private removeExpired(): void {
    const nowMs = performance.now();
    for (const [key, entry] of this.values) {
      if (entry.expiresAtMs !== undefined && entry.expiresAtMs <= nowMs) {
        this.applyChange(key, undefined);
      }
    }
  }

  private countCall(isRead: boolean): void {
    const nowMs = performance.now();
    if (nowMs - this.currentSecond.startMs >= 1000) {
      this.currentSecond = {startMs: nowMs, reads: 0, writes: 0};
    }
    const second = this.currentSecond;
    if (isRead) {
      this.counts.reads += 1;
      second.reads += 1;
    } else {
      this.counts.writes += 1;
      second.writes += 1;
    }
    const {counts} = this;
    counts.peakReadsPerSecond = Math.max(
      counts.peakReadsPerSecond,
      second.reads,
    );
    counts.peakWritesPerSecond = Math.max(
      counts.peakWritesPerSecond,
      second.writes,
    );
  }
}

function toEntry(stored: StoredEntry): PlatformEntry {
  return {key: stored.key, value: stored.value, revision: stored.revision};
}

function toEntryOrNull(stored: StoredEntry | undefined): PlatformEntry | null {
  return stored ? toEntry(stored) : null;
}
