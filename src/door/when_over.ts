import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/** Callbacks of the requests in progress, by connection. */
const pending = new WeakMap<Socket, Set<() => void>>();

/**
 * Calls back once, when the response to a request is over or its connection has
 * closed. A response that waits behind another one on the same connection emits
 * no event of its own when the connection closes.
 */
export function whenOver(
  request: IncomingMessage,
  response: ServerResponse,
  callback: () => void,
): void {
  const callbacks = callbacksOf(request.socket);
  const finish = (): void => {
    if (callbacks.delete(finish)) callback();
  };
  callbacks.add(finish);
  response.once('close', finish);
}

function callbacksOf(socket: Socket): Set<() => void> {
  const known = pending.get(socket);
  if (known) return known;
  const callbacks = new Set<() => void>();
  pending.set(socket, callbacks);
  socket.once('close', () => {
    for (const finish of [...callbacks]) finish();
  });
  return callbacks;
}
