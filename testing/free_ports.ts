import {AddressInfo, createServer, Server} from 'node:net';

/**
 * Finds TCP ports on 127.0.0.1 that are free now.
 *
 * @param count - Number of ports.
 */
export async function freePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
