import {createServer} from 'node:net';

// Below the range from which the system takes ports for outgoing connections
// and for port 0; a port of that range can be taken again before its process
// binds it, which made starts fail with EADDRINUSE.
const LOWEST_PORT = 10_000;
const PORT_COUNT = 22_000;

/** Ports between the starting points of two processes with following ids. */
const PROCESS_PORT_STRIDE = 397;

let nextOffset = (process.pid * PROCESS_PORT_STRIDE) % PORT_COUNT;

/**
 * Finds TCP ports on 127.0.0.1 that are free now.
 *
 * @param count - Number of ports.
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
