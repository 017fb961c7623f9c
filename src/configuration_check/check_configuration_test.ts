import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {test} from 'node:test';

import {runCommand} from 'citty';

import {simpleConfiguration} from '../../testing/simple_definitions.js';
import {Configuration, Queue} from '../work/configuration.js';
import {checkConfigurationCommand} from './check_configuration_command.js';
import {compareConfigurations} from './compare_configurations.js';
import {findConfigurationIssues} from './find_configuration_issues.js';

const VALID = simpleConfiguration();
const [QUEUE] = VALID.queues;

function withQueues(...fields: Array<Partial<Queue>>): Configuration {
  const queues = fields.map((changed) => ({...QUEUE!, ...changed}));
  return {...VALID, queues};
}

function issuesOf(configuration: Configuration): string[] {
  return findConfigurationIssues(configuration).map(
    ({level, place, text}) => `${level}: ${place}: ${text}`,
  );
}

test('a sound configuration has no findings', () => {
  // Guards against warnings that operators learn to ignore.
  assert.deepEqual(issuesOf(VALID), []);
});

test('errors are found', () => {
  // Guards against a configuration that nodes take over and no job survives.
  const issues = issuesOf({
    ...withQueues({service: 'other'}, {maxAttempts: 0}, {stretch: -1}),
    maxBodyBytes: 10,
  }).join('\n');
  assert.match(issues, /error: queue queue: service "other" is not listed/);
  assert.match(issues, /error: queue queue: is listed twice/);
  assert.match(issues, /no attempt is allowed/);
  assert.match(issues, /objective is negative/);
  assert.match(issues, /error: limits: no job fits/);
});

test('entries that never match are found', () => {
  // Guards against a route that operators believe to be in force.
  const issues = issuesOf(
    withQueues(
      {name: 'first'},
      {name: 'second'},
      {name: 'third', prefix: 'jobs/'},
      {name: 'fourth', host: 'host:80'},
    ),
  ).join('\n');
  assert.match(issues, /queue second: never matches: queue first has the same/);
  assert.match(issues, /queue third: never matches: no path begins/);
  assert.match(issues, /queue fourth: never matches: "host:80" is no host/);
});

test('limits that contradict each other are found', () => {
  // Guards against a queue whose jobs are all refused, or all late.
  const issues = issuesOf(
    withQueues({timeoutMs: 200}, {stretch: 0.5, targetLatencyMs: 0}),
  ).join('\n');
  assert.match(issues, /leaves none to store a job/);
  assert.match(issues, /shorter than the work/);
});

test('differences from the version in force are listed', () => {
  // Guards against a route that is dropped, or a limit that changes, unnoticed.
  const changed = {
    ...withQueues({timeoutMs: 2000}, {name: 'new', prefix: '/new/'}),
    services: [],
    version: 2,
  };
  const texts = compareConfigurations(changed, VALID).map(
    ({place, text}) => `${place} ${text}`,
  );
  assert.deepEqual(texts, [
    'queue queue timeoutMs: 3000 -> 2000',
    'queue new is added',
    'service service is removed',
  ]);
  const older = compareConfigurations(VALID, changed);
  assert.match(older[0]!.text, /not above 2/);
});

test('the exit status tells errors from warnings', async () => {
  // Guards against a script that sends a configuration with errors.
  const folder = mkdtempSync(join(tmpdir(), 'banyanmux-'));
  const statusOf = async (text: string): Promise<number | undefined> => {
    const file = join(folder, 'configuration.json');
    writeFileSync(file, text);
    let status: number | undefined;
    const command = checkConfigurationCommand({
      decode: (value) => JSON.parse(value.toString()) as Configuration,
      write: () => undefined,
      setExitStatus: (given) => void (status = given),
    });
    await runCommand(command, {rawArgs: [file]});
    return status;
  };
  try {
    assert.equal(await statusOf(JSON.stringify(VALID)), 0);
    const unused = {...VALID, queues: []};
    assert.equal(await statusOf(JSON.stringify(unused)), 1);
    assert.equal(await statusOf('{'), 2);
  } finally {
    rmSync(folder, {recursive: true});
  }
});
