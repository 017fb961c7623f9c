import {createServer, RequestListener, Server} from 'node:http';

/** Options of {@link NodeHttpServer}. */
export interface NodeHttpServerOptions {
  /** Host and port. */
  address: {host: string; port: number};
  /** Answers requests. */
  listener: RequestListener;
  /** Time in ms an idle connection stays open. @default 65000 */
  idleMs?: number;
}

/** HTTP server that lets its callers leave before it stops. */
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

  /** Starts to accept connections. */
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

  /** Asks callers to open no further requests on their connections. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Stops accepting; resolves when the last request has been answered. */
  close(): Promise<void> {
    const closed = new Promise<void>((resolve) =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    return closed;
  }
}
