import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';

/** Number of test files run in parallel; more make timings unreliable. */
const CONCURRENCY = 3;

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

function main(): void {
  const filters = process.argv.slice(2);
  const files = ['src', 'platform', 'testing', 'measure']
    .filter((folder) => existsSync(join('build', folder)))
    .flatMap((folder) => testFiles(join('build', folder)))
    .filter(
      (file) =>
        filters.length === 0 || filters.some((part) => file.includes(part)),
    );
  const knownFailures = readKnownFailures();
  const failed: string[] = [];
  const reportedTests = new Set<string>();
  let passedCount = 0;
  let knownFailureCount = 0;
  const stream = run({
    files,
    concurrency: CONCURRENCY,
    timeout: TEST_TIMEOUT_MS,
  });
  stream.on('test:pass', (event) => {
    reportedTests.add(event.name);
    if (event.details.type !== 'suite') passedCount += 1;
  });
  stream.on('test:fail', (event) => {
    reportedTests.add(event.name);
    const error = event.details.error as Error & {failureType?: string};
    if (error.failureType === SUBTESTS_FAILED) return;
    if (knownFailures.includes(event.name)) knownFailureCount += 1;
    else failed.push(event.name);
  });
  stream.on('end', () => {
    const missing =
      filters.length > 0
        ? []
        : knownFailures.filter((name) => !reportedTests.has(name));
    for (const name of knownFailures) console.log(`known red: ${name}`);
    for (const name of missing) console.log(`known red, not run: ${name}`);
    for (const name of failed) console.log(`failed: ${name}`);
    console.log(
      `${passedCount} passed, ${failed.length} failed, ${knownFailureCount} skipped`,
    );
    process.exitCode = failed.length + missing.length > 0 ? 1 : 0;
  });
  stream.pipe(new spec()).pipe(process.stdout);
}

main();
