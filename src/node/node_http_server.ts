import {createServer, RequestListener, Server} from 'node:http';

/** Options of {@link NodeHttpServer}. */
export interface NodeHttpServerOptions {
  /** Address to listen on. */
  address: {host: string; port: number};
  /** Handles requests. */
  listener: RequestListener;
  /** Keep-alive timeout in ms of idle connections. @default 65000 */
  idleMs?: number;
}

/** HTTP server that drains keep-alive connections before it closes. */
export class NodeHttpServer {
  private readonly server: Server;
  private isDraining = false;

  constructor(private readonly options: NodeHttpServerOptions) {
    this.server = createServer(
      {keepAliveTimeout: options.idleMs ?? 65_000, noDelay: true},
      (request, response) => {
        if (this.isDraining) response.setHeader('connection', 'close');
        options.listener(request, response);
      },
    );
  }

  /** Starts to accept connections; rejects if the address cannot be bound. */
  listen(): Promise<void> {
    const {host, port} = this.options.address;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /**
   * Adds `connection: close` to responses from now on, so that clients stop
   * reusing their connections.
   */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Stops accepting connections; resolves when all requests have completed. */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    return closed;
  }
}
