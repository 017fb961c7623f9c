import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

/** Number of test files run in parallel; more make timings unreliable. */
const CONCURRENCY = 3;

/**
 * Files that run one after the other once all others have ended: they measure
 * the memory and the descriptors of a process that is under load.
 */
const ISOLATED_FILES = [
  'misbehaving_bodies_test.js',
  'misbehaving_connections_test.js',
];

/** Time in ms after which a test that is still running counts as failed. */
const TEST_TIMEOUT_MS = 180_000;

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

function testFiles(folder: string): string[] {
  return readdirSync(folder, {recursive: true, encoding: 'utf8'})
    .filter((name) => name.endsWith('_test.js'))
    .map((name) => join(folder, name))
    .sort();
}

/** Reads the test names that KNOWN-RED.txt lists in lines `test: NAME`. */
function readKnownFailures(): string[] {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

/** Failure type of a file or suite that failed only because of its subtests. */
const SUBTESTS_FAILED = 'subtestsFailed';

/** What became of the tests. */
interface TestResults {
  passedCount: number;
  knownFailureCount: number;
  failed: string[];
  reported: Set<string>;
}

/** Runs test files and adds what became of them to the results. */
function runFiles(
  files: string[],
  options: {concurrency: number; knownFailures: string[]},
  results: TestResults,
): Promise<void> {
  const {concurrency, knownFailures} = options;
  if (files.length === 0) return Promise.resolve();
  const stream = run({files, concurrency, timeout: TEST_TIMEOUT_MS});
  stream.on('test:pass', (event) => {
    results.reported.add(event.name);
    if (event.details.type !== 'suite') results.passedCount += 1;
  });
  stream.on('test:fail', (event) => {
    results.reported.add(event.name);
    const error = event.details.error as Error & {failureType?: string};
    if (error.failureType === SUBTESTS_FAILED) return;
    if (knownFailures.includes(event.name)) results.knownFailureCount += 1;
    else results.failed.push(event.name);
  });
  stream.pipe(new spec()).pipe(process.stdout, {end: false});
  return new Promise((resolve) => stream.once('end', resolve));
}

async function main(): Promise<void> {
  const filters = process.argv.slice(2);
  const files = ['src', 'platform', 'testing', 'measure']
    .filter((folder) => existsSync(join('build', folder)))
    .flatMap((folder) => testFiles(join('build', folder)))
    .filter(
      (file) =>
        filters.length === 0 || filters.some((part) => file.includes(part)),
    );
  const isIsolated = (file: string): boolean =>
    ISOLATED_FILES.some((name) => file.endsWith(name));
  const knownFailures = readKnownFailures();
  const results: TestResults = {
    passedCount: 0,
    knownFailureCount: 0,
    failed: [],
    reported: new Set(),
  };
  const shared = files.filter((file) => !isIsolated(file));
  await runFiles(shared, {concurrency: CONCURRENCY, knownFailures}, results);
  const isolated = files.filter(isIsolated);
  await runFiles(isolated, {concurrency: 1, knownFailures}, results);
  const missing =
    filters.length > 0
      ? []
      : knownFailures.filter((name) => !results.reported.has(name));
  const {failed, passedCount, knownFailureCount} = results;
  for (const name of knownFailures) console.log(`known red: ${name}`);
  for (const name of missing) console.log(`known red, not run: ${name}`);
  for (const name of failed) console.log(`failed: ${name}`);
  console.log(
    `${passedCount} passed, ${failed.length} failed, ${knownFailureCount} skipped`,
  );
  process.exitCode = failed.length + missing.length > 0 ? 1 : 0;
}

await main();
