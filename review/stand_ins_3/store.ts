import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

/** Item of the store as the platform's pages describe it. */
export interface Item {
  key: string;
  /** Base64 text. */
  value: string;
  revision: number;
  created: number;
  lease: number;
}

interface Change {
  key: string;
  revision: number;
  item?: Item;
}

interface Transaction {
  expect?: Array<{key: string; revision: number}>;
  write?: Array<{key: string; value: string; lease?: number}>;
  remove?: string[];
}

/** Largest number of items of one page. */
const PAGE_ITEMS = 500;

/** Longest wait in ms of a watch. */
const LONGEST_WATCH_MS = 30_000;

/** Interval in ms between two searches for leases that have run out. */
const LEASE_CHECK_MS = 20;

/** Sound stand-in for the platform's store, served over HTTP. */
export class Store {
  private readonly items = new Map<string, Item>();
  private readonly changes: Change[] = [];
  private readonly leases = new Map<number, {ttlMs: number; endsMs: number}>();
  private readonly waiting = new Set<() => void>();
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;
  private revision = 1;
  private nextLease = 1;
  /** Time in ms by which each answer to a node is late. */
  answerDelayMs = 0;
  private lateWrites = {key: '', delayMs: 0};
  /** Number of transactions so far, and of those left without an answer. */
  readonly counts = {writes: 0, late: 0};

  constructor() {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.timer = setInterval(() => this.endDueLeases(), LEASE_CHECK_MS);
  }

  /** Starts to listen on 127.0.0.1. */
  listen(port: number): Promise<void> {
    return new Promise((resolve) =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  /** Closes all connections. */
  stop(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a key, as the operator or an executor does. */
  put(key: string, value: unknown): void {
    this.revision += 1;
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.notify();
  }

  /** Removes a key, as the platform does when an executor has left. */
  removeKey(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.changes.push({key, revision: this.revision});
    this.notify();
  }

  /**
   * Leaves each transaction that writes a key without an answer from now on, and
   * carries it out later if its condition still holds then.
   *
   * @param key - Part of the key; empty to answer all again.
   */
  delayWrites(key: string, delayMs = 0): void {
    this.lateWrites = {key, delayMs};
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readBody(request);
    const {pathname, searchParams} = url;
    if (pathname.startsWith('/api/')) this.delayAnswer(response);
    if (pathname === '/api/kv-key') {
      const item = this.items.get(searchParams.get('key') ?? '');
      if (item) send(response, 200, {...item, at: this.revision});
      else send(response, 404, {at: this.revision});
    } else if (pathname === '/api/kv-range') {
      send(response, 200, this.range(searchParams));
    } else if (pathname === '/api/kv-watch') {
      await this.watch(searchParams, response);
    } else if (pathname === '/api/kv-txn') {
      this.receive(body as Transaction, response);
    } else if (pathname === '/api/kv-lease') {
      const ttlMs = Math.max(1000, (body as {ttlMs: number}).ttlMs);
      const lease = this.nextLease++;
      this.leases.set(lease, {ttlMs, endsMs: performance.now() + ttlMs});
      send(response, 200, {lease, ttlMs});
    } else if (pathname.startsWith('/api/kv-keep/')) {
      const lease = this.leases.get(Number(pathname.split('/').at(-1)));
      if (lease) lease.endsMs = performance.now() + lease.ttlMs;
      send(response, lease ? 200 : 404, {});
    } else if (pathname.startsWith('/api/kv-lease-end/')) {
      this.endLease(Number(pathname.split('/').at(-1)));
      send(response, 200, {});
    } else if (pathname === '/stand-in/put') {
      const {key, value} = body as {key: string; value: unknown};
      this.put(key, value);
      send(response, 200, {});
    } else {
      send(response, 404, {});
    }
  }

  /** Makes the answer to a call late, which itself is carried out at once. */
  private delayAnswer(response: ServerResponse): void {
    const delayMs = this.answerDelayMs;
    if (delayMs === 0) return;
    const end = response.end.bind(response) as (text: string) => void;
    response.end = ((text: string) => {
      setTimeout(() => end(text), delayMs);
      return response;
    }) as typeof response.end;
  }

  private range(query: URLSearchParams): object {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      items: found.slice(0, PAGE_ITEMS),
      hasMore: found.length > PAGE_ITEMS,
      at: this.revision,
    };
  }

  private async watch(
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Math.min(LONGEST_WATCH_MS, Number(query.get('waitMs')));
    const endsMs = performance.now() + waitMs;
    for (;;) {
      const events = this.changes.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      const leftMs = endsMs - performance.now();
      if (events.length > 0 || leftMs <= 0) {
        send(response, 200, {events: events.map(toEvent), at: this.revision});
        return;
      }
      await this.nextChange(leftMs);
      if (response.destroyed) return;
    }
  }

  private nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.waiting.add(finish);
    });
  }

  private receive(body: Transaction, response: ServerResponse): void {
    const {key, delayMs} = this.lateWrites;
    this.counts.writes += 1;
    const isLate = body.write?.some((item) => item.key.includes(key));
    if (key === '' || !isLate) {
      this.transact(body, response);
      return;
    }
    this.counts.late += 1;
    setTimeout(() => this.transact(body), delayMs);
  }

  /** Carries out a transaction; without a response, nobody is answered. */
  private transact(body: Transaction, response?: ServerResponse): void {
    const {expect = [], write = [], remove = []} = body;
    const isMet = expect.every(
      ({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = expect.flatMap(({key}) => this.items.get(key) ?? []);
      if (response) send(response, 412, {items});
      return;
    }
    if (write.some(({lease}) => lease && !this.leases.has(lease))) {
      if (response) send(response, 404, {});
      return;
    }
    this.revision += 1;
    for (const {key, value, lease} of write) this.write(key, value, lease ?? 0);
    for (const key of remove) {
      if (!this.items.delete(key)) continue;
      this.changes.push({key, revision: this.revision});
    }
    this.notify();
    if (response) send(response, 200, {revision: this.revision});
  }

  private write(key: string, value: string, lease: number): void {
    const {revision} = this;
    const created = this.items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease};
    this.items.set(key, item);
    this.changes.push({key, revision, item});
  }

  private notify(): void {
    for (const finish of [...this.waiting]) finish();
  }

  private endDueLeases(): void {
    for (const [lease, {endsMs}] of [...this.leases]) {
      if (endsMs <= performance.now()) this.endLease(lease);
    }
  }

  private endLease(lease: number): void {
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) this.removeKey(item.key);
    }
  }
}

function toEvent({key, revision, item}: Change): object {
  return item ?? {key, revision, deleted: true};
}

/** Reads a JSON body; an empty one gives an empty object. */
export async function readBody(message: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

/** Sends a JSON response. */
export function send(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
