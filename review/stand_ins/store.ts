import {Server} from 'node:http';

import {Answer, listen, serve, sleep} from './http.js';

interface Item {
  key: string;
  /** Base64. */
  value: string;
  revision: number;
  created: number;
  lease: number;
}

type Event = Item | {key: string; revision: number; deleted: true};

interface Lease {
  ttlMs: number;
  endsMs: number;
}

/** Largest page of a range. */
const PAGE_ITEMS = 500;

/** Largest number of entries of a transaction. */
const MAX_ENTRIES = 32;

/** Longest key in bytes. */
const MAX_KEY_BYTES = 200;

/** Options of {@link StoreStandIn}. */
export interface StoreOptions {
  /** Longest value in bytes. @default 1048576 */
  valueBytes?: number;
  /** Time in ms that an answer takes. @default 4 */
  answerMs?: number;
}

/** The platform's metadata store, as PROTOCOL.md describes it. */
export class StoreStandIn {
  port = 0;
  /** Number of transactions refused because of a value that is too long. */
  tooLong = 0;
  private isDown = false;
  private revision = 100;
  private readonly items = new Map<string, Item>();
  private readonly history: Event[] = [];
  private readonly leases = new Map<number, Lease>();
  private readonly waiters = new Set<() => void>();
  private nextLease = 1000;
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly options: StoreOptions = {}) {
    this.server = serve(async (call) => {
      await sleep(this.options.answerMs ?? 4);
      if (this.isDown) return {status: 503};
      const answer = await this.handle(call.method, call.url, call.body);
      return this.isDown ? {status: 503} : answer;
    });
    this.timer = setInterval(() => this.endLeases(), 50);
  }

  async start(): Promise<void> {
    this.port = await listen(this.server);
  }

  stop(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Answers 503 to all calls for a time in ms; leases pause meanwhile. */
  async goDown(forMs: number): Promise<void> {
    this.isDown = true;
    const sinceMs = performance.now();
    this.wake();
    await sleep(forMs);
    const downMs = performance.now() - sinceMs;
    for (const lease of this.leases.values()) lease.endsMs += downMs;
    this.isDown = false;
  }

  /** Writes a key as the operator or an executor does. */
  put(key: string, value: unknown): void {
    this.revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.write(key, text, 0);
    this.wake();
  }

  /** Removes a key, as when a registration ends. */
  remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({key, revision: this.revision, deleted: true});
    this.wake();
  }

  /** Returns the value of a key; undefined if there is none. */
  get(key: string): Buffer | undefined {
    const item = this.items.get(key);
    return item && Buffer.from(item.value, 'base64');
  }

  private handle(
    method: string,
    url: URL,
    body: Record<string, unknown>,
  ): Promise<Answer> | Answer {
    const [, , name, id] = url.pathname.split('/');
    const query = url.searchParams;
    switch (`${method} ${name}`) {
      case 'GET kv-key': {
        const item = this.items.get(query.get('key') ?? '');
        const at = this.revision;
        return item
          ? {status: 200, body: {...item, at}}
          : {status: 404, body: {at}};
      }
      case 'GET kv-range':
        return this.range(query.get('prefix') ?? '', query.get('after') ?? '');
      case 'GET kv-watch':
        return this.watch(
          query.get('prefix') ?? '',
          Number(query.get('after')),
          Number(query.get('waitMs') ?? 0),
        );
      case 'POST kv-txn':
        return this.commit(body);
      case 'POST kv-lease': {
        const ttlMs = Number(body.ttlMs);
        const lease = this.nextLease++;
        this.leases.set(lease, {ttlMs, endsMs: performance.now() + ttlMs});
        return {status: 200, body: {lease, ttlMs}};
      }
      case 'POST kv-keep': {
        const lease = this.leases.get(Number(id));
        if (!lease) return {status: 404};
        lease.endsMs = performance.now() + lease.ttlMs;
        return {status: 200};
      }
      case 'DELETE kv-lease-end':
        this.endLease(Number(id));
        return {status: 200};
      default:
        return {status: 400};
    }
  }

  private range(prefix: string, after: string): Answer {
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_ITEMS);
    return {
      status: 200,
      body: {
        items: page.map((key) => this.items.get(key)),
        hasMore: keys.length > page.length,
        at: this.revision,
      },
    };
  }

  private async watch(
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<Answer> {
    const untilMs = performance.now() + waitMs;
    for (;;) {
      const events = this.eventsAfter(after).filter(({key}) =>
        key.startsWith(prefix),
      );
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        return {status: 200, body: {events, at: this.revision}};
      }
      await this.nextChange(leftMs);
    }
  }

  private eventsAfter(revision: number): Event[] {
    let first = this.history.length;
    while (first > 0 && this.history[first - 1]!.revision > revision) first--;
    return this.history.slice(first);
  }

  private commit(body: Record<string, unknown>): Answer {
    const expect = (body.expect ?? []) as Array<{
      key: string;
      revision: number;
    }>;
    const write = (body.write ?? []) as Array<{
      key: string;
      value: string;
      lease?: number;
    }>;
    const remove = (body.remove ?? []) as string[];
    const isTooLong = write.some(
      ({key, value}) =>
        Buffer.byteLength(key) > MAX_KEY_BYTES ||
        Buffer.from(value, 'base64').length >
          (this.options.valueBytes ?? 1_048_576),
    );
    if (isTooLong) this.tooLong += 1;
    if (
      isTooLong ||
      expect.length + write.length + remove.length > MAX_ENTRIES
    ) {
      return {status: 400};
    }
    const isMet = expect.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expect.flatMap(({key}) => this.items.get(key) ?? []);
      return {status: 412, body: {items}};
    }
    if (write.some(({lease}) => lease && !this.leases.has(lease))) {
      return {status: 404};
    }
    this.revision += 1;
    for (const {key, value, lease} of write) this.write(key, value, lease ?? 0);
    for (const key of remove) {
      if (!this.items.delete(key)) continue;
      this.history.push({key, revision: this.revision, deleted: true});
    }
    this.wake();
    return {status: 200, body: {revision: this.revision}};
  }

  private write(key: string, value: string, lease: number): void {
    const {revision} = this;
    const created = this.items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease};
    this.items.set(key, item);
    this.history.push(item);
  }

  private endLeases(): void {
    if (this.isDown) return;
    const nowMs = performance.now();
    for (const [id, {endsMs}] of [...this.leases]) {
      if (endsMs <= nowMs) this.endLease(id);
    }
  }

  private endLease(id: number): void {
    if (!this.leases.delete(id) || id === 0) return;
    for (const {key, lease} of [...this.items.values()]) {
      if (lease === id) this.remove(key);
    }
  }

  private nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiters.add(finish);
    });
  }

  private wake(): void {
    for (const finish of [...this.waiters]) finish();
  }
}
