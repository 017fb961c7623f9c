import {createServer, IncomingMessage, request, Server} from 'node:http';
import {createServer as createSocketServer} from 'node:net';

/** Response of a stand-in; undefined means that none is sent. */
export interface Answer {
  status: number;
  body?: unknown;
}

/** Handles one call; `body` is the decoded JSON. */
export type Handler = (call: {
  method: string;
  url: URL;
  body: Record<string, unknown>;
  headers: IncomingMessage['headers'];
}) => Promise<Answer | undefined> | Answer | undefined;

/** Serves JSON over HTTP/1.1 on 127.0.0.1. */
export function serve(handler: Handler): Server {
  return createServer({keepAliveTimeout: 60_000}, (incoming, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const body = (text === '' ? {} : JSON.parse(text)) as Record<
        string,
        unknown
      >;
      const url = new URL(incoming.url ?? '/', 'http://stand-in');
      void Promise.resolve(
        handler({
          method: incoming.method ?? '',
          url,
          body,
          headers: incoming.headers,
        }),
      ).then((answer) => {
        if (!answer || response.destroyed) return;
        const json = JSON.stringify(answer.body ?? {});
        response.writeHead(answer.status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(json),
        });
        response.end(json);
      });
    });
  });
}

/** Listens on a port of 127.0.0.1; returns the port, a free one if 0. */
export async function listen(server: Server, port = 0): Promise<number> {
  const chosen = port === 0 ? (await freePorts(1))[0]! : port;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(chosen, '127.0.0.1', () => {
      server.off('error', reject);
      resolve(chosen);
    });
  });
}

/** Ports from which free ones are drawn; outgoing connections use higher ones. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

const drawnPorts = new Set<number>();

/** Returns ports of 127.0.0.1 that are free now, each only once. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const range = LAST_PORT - FIRST_PORT;
    const port = FIRST_PORT + Math.floor(Math.random() * range);
    if (drawnPorts.has(port) || !(await isFree(port))) continue;
    drawnPorts.add(port);
    ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = createSocketServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Sends one request; status 0 means that there was no complete response. */
export function call(
  options: {
    port: number;
    method: string;
    path: string;
    headers?: Record<string, string>;
    timeoutMs?: number;
  },
  body?: unknown,
): Promise<{status: number; body: Record<string, unknown>}> {
  const {port, method, path, headers = {}, timeoutMs = 4000} = options;
  const json = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const fail = (): void => resolve({status: 0, body: {}});
    const outgoing = request(
      {
        host: '127.0.0.1',
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(json === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': String(Buffer.byteLength(json)),
              }),
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          let decoded: Record<string, unknown> = {};
          try {
            decoded = text === '' ? {} : (JSON.parse(text) as typeof decoded);
          } catch {
            decoded = {text};
          }
          resolve({status: response.statusCode ?? 0, body: decoded});
        });
      },
    );
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy());
    outgoing.on('error', fail);
    outgoing.end(json);
  });
}

/** Resolves after a time in ms. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
