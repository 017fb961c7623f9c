const HOST = 'jobs.example';

/** Returns the path of a job of the fleet's callers. */
export function jobPath(client: number): string {
  return `/jobs/${client.toString(16).padStart(16, '0')}`;
}

/** Returns the header section of a request. */
export function head(
  method: string,
  path: string,
  headers: Readonly<Record<string, string | number>> = {},
): Buffer {
  const lines = Object.entries({host: HOST, ...headers}).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`);
}

/** Returns the header section of a submission. */
export function post(path: string, bodyBytes: number): Buffer {
  return head('POST', path, {'content-length': bodyBytes});
}
