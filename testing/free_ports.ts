import {createServer} from 'node:net';

// Ports below the ephemeral range, from which the system serves outgoing
// connections and port 0. A free ephemeral port can be reassigned before the
// process under test binds it, which then fails to start with EADDRINUSE.
const LOWEST_PORT = 10_000;
const PORT_COUNT = 22_000;

/** Distance between the first ports tried by processes with consecutive ids. */
const PROCESS_PORT_STRIDE = 397;

let nextOffset = (process.pid * PROCESS_PORT_STRIDE) % PORT_COUNT;

/**
 * Finds TCP ports on 127.0.0.1 that are currently free. They are not reserved;
 * repeated calls return different ports until the range is used up.
 *
 * @param count - Number of ports to return.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = LOWEST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
