import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';

import {request} from 'undici';

import {readJson, writeJson} from './stand_in_http.js';

/**
 * Serves control calls from the test driver in a stand-in process. Responds
 * with the result of `handle` as JSON, or with status 500 if it throws.
 */
export async function serveControl(
  port: number,
  handle: (body: Record<string, unknown>) => unknown,
): Promise<{server: Server; port: number}> {
  const server = createServer((message, response) => {
    void readJson(message)
      .then((body) => handle(body as Record<string, unknown>))
      .then((result) => writeJson(response, 200, result ?? {}))
      .catch((error: Error) =>
        writeJson(response, 500, {error: error.message}),
      );
  });
  await new Promise<void>((resolve) =>
    server.listen(port, '127.0.0.1', resolve),
  );
  return {server, port: (server.address() as AddressInfo).port};
}

/** Sends a control call to a stand-in process and returns its response. */
export async function callControl(
  port: number,
  body: Record<string, unknown> = {},
): Promise<Record<string, unknown>> {
  const response = await request(`http://127.0.0.1:${port}/control`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  return (await response.body.json()) as Record<string, unknown>;
}
