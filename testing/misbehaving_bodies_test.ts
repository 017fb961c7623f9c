import {CrowdMember} from './client_crowd.js';
import {head, jobPath, post} from './crowd_requests.js';
import {Crowd, testCrowd} from './outlives_crowd.js';

/** Size of a legal body; the limit of the configuration is 262,144. */
const LEGAL_BYTES = 250_000;

const UNROUTED_PATH = '/nowhere/00000000000000ff';
const READINESS_PATH = '/api/readiness';

const BLANK_BODY = Buffer.alloc(LEGAL_BYTES - 1, ' ');

const CHUNKED_BODY = Buffer.from('10\r\n0123456789abcdef\r\n'.repeat(12_000));

const CHUNKED = {'transfer-encoding': 'chunked'};

/** A legal body of many short fields. */
function bodyOfManySteps(): Buffer {
  const steps = Array.from({length: 20_000}, () => ({count: 1}));
  return Buffer.from(JSON.stringify({specification: '', steps}));
}

function bodyOfManyTasks(): Buffer {
  return Buffer.from('{"specification":"","steps":[{"count":100000}]}');
}

function bodyOfManyFields(): Buffer {
  const fields = Array.from({length: 24_000}, (_, index) => `"f${index}":1`);
  return Buffer.from(`{"specification":"","steps":[],${fields.join()}}`);
}

function complete(path: string, body: Buffer): CrowdMember {
  return {head: post(path, body.length), body};
}

const CROWDS: Readonly<Record<string, Crowd>> = {
  'bodies in one piece that stop short of their end': {
    clients: 450,
    memberOf: (client) => ({
      head: post(jobPath(client), LEGAL_BYTES),
      body: BLANK_BODY,
    }),
  },
  'bodies in one piece at a path without a route': {
    clients: 450,
    memberOf: () => ({
      head: post(UNROUTED_PATH, LEGAL_BYTES),
      body: BLANK_BODY,
    }),
  },
  'bodies in small pieces that stop short of their end': {
    clients: 450,
    memberOf: (client) => ({
      head: post(jobPath(client), LEGAL_BYTES),
      body: BLANK_BODY,
      pieceBytes: 250,
    }),
  },
  'chunked bodies that stop short of their end': {
    clients: 200,
    memberOf: (client) => ({
      head: head('POST', jobPath(client), CHUNKED),
      body: CHUNKED_BODY,
    }),
  },
  'chunked bodies at the path that says ready': {
    clients: 200,
    memberOf: () => ({
      head: head('POST', READINESS_PATH, CHUNKED),
      body: CHUNKED_BODY,
    }),
  },
  'bodies without an end': {
    clients: 40,
    memberOf: (client) => ({
      head: head('POST', jobPath(client), CHUNKED),
      body: CHUNKED_BODY,
      isEndless: true,
    }),
  },
  'jobs of very many steps': {
    clients: 60,
    memberOf: (client) => complete(jobPath(client), bodyOfManySteps()),
  },
  'jobs of very many tasks': {
    clients: 20,
    memberOf: (client) => complete(jobPath(client), bodyOfManyTasks()),
  },
  'bodies of very many fields': {
    clients: 100,
    memberOf: (client) => complete(jobPath(client), bodyOfManyFields()),
  },
};

for (const [name, crowd] of Object.entries(CROWDS)) testCrowd(name, crowd);
