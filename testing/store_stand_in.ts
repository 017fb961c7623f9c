import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

import {ResultError} from '../src/result_codes/result_error.js';
import {StoreChange, StoreItem} from '../src/store/metadata_store.js';
import {MemoryStore} from './memory_store.js';
import {readJson, writeJson} from './stand_in_http.js';

/** Body of a transaction; values are in base64. */
interface WireTransaction {
  expect: Array<{key: string; revision: number}>;
  write: Array<{key: string; value: string; lease?: number}>;
  remove: string[];
}

/** Interval in ms between checks for expired leases. */
const LEASE_CHECK_INTERVAL_MS = 50;

/** In-memory stand-in for the platform's store, served over HTTP. */
export class StoreStandIn {
  /** Contents and faults of the store. */
  readonly store = new MemoryStore();
  private readonly server: Server;
  private readonly timer: NodeJS.Timeout;

  constructor() {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response).catch((error: Error) => {
        const isKnown = error instanceof ResultError;
        const isUnavailable =
          isKnown && error.code.name === 'PLATFORM_UNAVAILABLE';
        if (isUnavailable) writeJson(response, 503, {error: error.message});
        // Other result errors stand for lost responses: send nothing and leave
        // the connection open.
        else if (!isKnown) writeJson(response, 500, {error: error.message});
      });
    });
    this.timer = setInterval(
      () => this.store.expireDueLeases(),
      LEASE_CHECK_INTERVAL_MS,
    );
  }

  /** Starts to listen on 127.0.0.1. */
  listen(port: number): Promise<void> {
    return new Promise((resolve) =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
  }

  /** Stops the server and closes all connections. */
  stop(): void {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private async handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const route = `${request.method} ${url.pathname.split('/', 3).join('/')}`;
    const leaseId = Number(url.pathname.split('/')[3]);
    const body = await readJson(request);
    if (route === 'GET /api/kv-key') await this.read(url, response);
    else if (route === 'GET /api/kv-range') await this.list(url, response);
    else if (route === 'GET /api/kv-watch') await this.watch(url, response);
    else if (route === 'POST /api/kv-txn') {
      await this.commit(body as WireTransaction, response);
    } else if (route === 'POST /api/kv-lease') {
      const {ttlMs} = body as {ttlMs: number};
      const {lease} = await this.store.grantLease(ttlMs);
      writeJson(response, 200, {lease, ttlMs});
    } else if (route === 'POST /api/kv-keep') {
      const isRenewed = await this.store.renewLease(leaseId);
      writeJson(response, isRenewed ? 200 : 404, {});
    } else if (route === 'DELETE /api/kv-lease-end') {
      await this.store.endLease(leaseId);
      writeJson(response, 200, {});
    } else writeJson(response, 400, {});
  }

  private async read(url: URL, response: ServerResponse): Promise<void> {
    const item = await this.store.read(url.searchParams.get('key') ?? '');
    const revision = this.store.revision;
    if (item) writeJson(response, 200, {...toWire(item), at: revision});
    else writeJson(response, 404, {at: revision});
  }

  private async list(url: URL, response: ServerResponse): Promise<void> {
    const {items, revision} = await this.store.list(
      url.searchParams.get('prefix') ?? '',
    );
    const body = {items: items.map(toWire), hasMore: false, at: revision};
    writeJson(response, 200, body);
  }

  private async watch(url: URL, response: ServerResponse): Promise<void> {
    const result = await this.store.watch(
      url.searchParams.get('prefix') ?? '',
      {
        afterRevision: Number(url.searchParams.get('after')),
        waitMs: Number(url.searchParams.get('waitMs')),
      },
    );
    if (result.kind === 'history-lost') {
      writeJson(response, 410, {});
      return;
    }
    const events = result.changes.map(toWireChange);
    writeJson(response, 200, {events, at: result.revision});
  }

  private async commit(
    body: WireTransaction,
    response: ServerResponse,
  ): Promise<void> {
    const result = await this.store.commit({
      expect: body.expect,
      write: body.write.map(({key, value, lease}) => ({
        key,
        value: Buffer.from(value, 'base64'),
        lease,
      })),
      remove: body.remove,
    });
    if (result.kind === 'committed') {
      writeJson(response, 200, {revision: result.revision});
    } else if (result.kind === 'conflict') {
      writeJson(response, 412, {items: result.items.map(toWire)});
    } else writeJson(response, 404, {});
  }
}

function toWire(item: StoreItem): object {
  return {...item, value: item.value.toString('base64')};
}

function toWireChange({key, value, revision}: StoreChange): object {
  if (!value) return {key, revision, deleted: true};
  return {key, revision, value: value.toString('base64')};
}
