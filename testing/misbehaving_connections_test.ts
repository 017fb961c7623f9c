import {head, jobPath, post} from './crowd_requests.js';
import {Crowd, testCrowd} from './outlives_crowd.js';

const MANY_HEADERS = Buffer.from(
  `GET / HTTP/1.1\r\nhost: jobs.example\r\n${'a:b\r\n'.repeat(3000)}`,
);

const PIPELINED = Buffer.concat(
  Array.from({length: 20_000}, (_, index) => head('GET', jobPath(index))),
);

/** Start of a frame of 4 MB, the largest that nodes exchange. */
const LARGE_FRAME_HEAD = Buffer.from([0, 0x40, 0, 0]);
const LARGE_FRAME_BODY = Buffer.alloc(4 * 1024 * 1024 - 1);

const CROWDS: Readonly<Record<string, Crowd>> = {
  'requests sent ahead whose answers nobody reads': {
    clients: 30,
    memberOf: () => ({head: PIPELINED}),
  },
  'requests sent ahead for the metrics': {
    clients: 30,
    memberOf: () => ({
      head: Buffer.from(head('GET', '/metrics').toString().repeat(4000)),
    }),
    portOf: (node) => node.metricsPort,
  },
  'headers that never end': {
    clients: 450,
    memberOf: () => ({
      head: MANY_HEADERS,
      body: Buffer.from('x'.repeat(2000)),
      pieceBytes: 1,
      pauseMs: 50,
    }),
  },
  'slow senders': {
    clients: 700,
    memberOf: (client) => ({
      head: post(jobPath(client), 1000),
      body: Buffer.alloc(999, ' '),
      pieceBytes: 1,
      pauseMs: 100,
    }),
  },
  'silent connections at the readiness address': {
    clients: 700,
    memberOf: () => ({head: Buffer.from('GET /')}),
    portOf: (node) => node.readinessPort,
  },
  'frames that never end at the address for links': {
    clients: 40,
    memberOf: () => ({head: LARGE_FRAME_HEAD, body: LARGE_FRAME_BODY}),
    portOf: (node) => node.linksPort,
  },
  'silent connections at the address for links': {
    clients: 700,
    memberOf: () => ({
      head: Buffer.from([0, 0, 4, 0]),
      body: Buffer.alloc(900),
      pieceBytes: 1,
      pauseMs: 100,
    }),
    portOf: (node) => node.linksPort,
  },
};

for (const [name, crowd] of Object.entries(CROWDS)) testCrowd(name, crowd);
