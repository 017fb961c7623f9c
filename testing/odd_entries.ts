/** Nesting that overflows the stack of a parser which calls itself. */
const DEEP_LEVELS = 300_000;

/** Elements of a list that takes most of the largest value of the store. */
const MANY_ELEMENTS = 350_000;

/** Valid registration of a worker, as JSON fields without their braces. */
const SOUND_FIELDS: Readonly<Record<string, string>> = {
  service: '"service"',
  address: '"127.0.0.1:9"',
  zone: '"levis"',
  state: '"ready"',
  capacity: '{"cpu":8000,"memoryRequestMb":16000,"gpu":0}',
  labels: '["a","r1"]',
  born: '1',
};

/** Returns a registration with some fields replaced by JSON texts. */
function registration(fields: Record<string, string>): Buffer {
  const all = {...SOUND_FIELDS, ...fields};
  const members = Object.entries(all).map(
    ([name, text]) => `"${name}":${text}`,
  );
  return Buffer.from(`{${members.join()}}`);
}

function deepArray(): string {
  return '['.repeat(DEEP_LEVELS) + ']'.repeat(DEEP_LEVELS);
}

function listOf(element: string): string {
  return `[${`${element},`.repeat(MANY_ELEMENTS)}${element}]`;
}

/**
 * Registrations of another writer that name no worker to use, by a description.
 * Each is valid but for one field, or is larger than any sound one.
 */
export function oddRegistrations(): ReadonlyMap<string, Buffer> {
  return new Map([
    ['deep unknown field', registration({extra: deepArray()})],
    ['deep labels', registration({labels: deepArray()})],
    ['many labels of another type', registration({labels: listOf('1')})],
    ['many labels', registration({labels: listOf('"a"')})],
    ['long data centre', registration({zone: `"${'z'.repeat(700_000)}"`})],
    ['capacity 1e308', registration({capacity: '{"cpu":1e308}'})],
    ['capacity 1e400', registration({capacity: '{"cpu":1e400}'})],
    ['negative capacity', registration({capacity: '{"cpu":-1}'})],
    ['remaining time 1e308', registration({remainingMs: '1e308'})],
    ['start time 1e300', registration({born: '1e300'})],
    ['port 0', registration({address: '"127.0.0.1:0"'})],
    ['port 99999', registration({address: '"127.0.0.1:99999"'})],
    [
      'port of 21 digits',
      registration({address: `"127.0.0.1:${'9'.repeat(21)}"`}),
    ],
    ['unclosed bracket', registration({address: '"[:1"'})],
    ['address with a user', registration({address: '"a@127.0.0.1:1"'})],
    ['address with a query', registration({address: '"127.0.0.1?:1"'})],
    ['host name', registration({address: '"worker.example:80"'})],
    ['unknown state', registration({state: '"resting"'})],
    ['missing capacity', Buffer.from('{"service":"service","state":"ready"}')],
    ['no object', Buffer.from('null')],
    ['no text', Buffer.from([0xff, 0xfe, 0x00])],
  ]);
}
