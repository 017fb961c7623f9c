import {pipeline} from 'node:stream/promises';

import {App, Request, Response} from '@tinyhttp/app';
import {Pool} from 'undici';

import {FairQueueingPolicy} from '../src/admission/fair_queueing_policy.js';
import {SystemClock} from '../src/clock/system_clock.js';
import {contractSchema} from '../src/contracts/contract.js';
import {SeededRandom} from '../src/random/seeded_random.js';
import {LeastLoadedRouting} from '../src/routing/least_loaded_routing.js';
import {DirectRouter} from './direct_router.js';

/** Options that the scenario passes as the only argument, encoded as JSON. */
interface RelayOptions {
  /** Port to listen on. */
  port: number;
  /** Name and origin of each target. */
  origins: Array<[string, string]>;
  /** Whether requests pass through admission and routing. */
  withDecisions: boolean;
}

const {port, origins, withDecisions} = JSON.parse(
  process.argv[2]!,
) as RelayOptions;

const SLOTS = 8;

type Exchange = {request: Request; response: Response};

/** Streams a request to a target, and the response back to the caller. */
async function forward(pool: Pool, exchange: Exchange): Promise<void> {
  const {request, response} = exchange;
  const answer = await pool.request({
    path: request.url,
    method: 'POST',
    headers: forwardedHeaders(request),
    body: request,
  });
  const length = String(answer.headers['content-length']);
  response.writeHead(answer.statusCode, {'content-length': length});
  await pipeline(answer.body, response);
}

/** Forwards requests to the targets in turn, without admission or routing. */
function createPassThroughRelay(): (exchange: Exchange) => Promise<void> {
  const pools = origins.map(
    ([, origin]) => new Pool(origin, {connections: SLOTS}),
  );
  let poolIndex = 0;
  return (exchange) => {
    poolIndex = (poolIndex + 1) % pools.length;
    return forward(pools[poolIndex]!, exchange);
  };
}

function forwardedHeaders(request: Request): Record<string, string> {
  const epoch = request.headers['banyanmux-epoch'];
  return {
    'x-work-ms': String(request.headers['x-work-ms']),
    ...(epoch === undefined ? {} : {'banyanmux-epoch': String(epoch)}),
  };
}

/** Forwards requests after admission and routing. */
function createRoutingRelay(): (exchange: Exchange) => Promise<void> {
  const clock = new SystemClock();
  const contract = contractSchema.parse({
    customer: 'kettridge',
    callers: [{name: 'crew', keyHash: '0'.repeat(64)}],
  });
  const exchanges = new Map<string, Exchange>();
  const router = new DirectRouter({
    clock,
    admission: new FairQueueingPolicy({
      clock,
      contracts: {contract: () => contract},
    }),
    routing: new LeastLoadedRouting({clock, random: new SeededRandom(1)}),
    origins: new Map(origins),
    send: async (pool, {requestId}) => {
      await forward(pool, exchanges.get(requestId)!);
      return true;
    },
  });
  let requestCount = 0;
  return async (exchange) => {
    const requestId = String(requestCount++);
    const arrivedMs = clock.nowMs();
    exchanges.set(requestId, exchange);
    const outcome = await router.submit(
      {
        requestId,
        customer: 'kettridge',
        caller: 'crew',
        service: 'portal',
        urgency: 'urgent',
        arrivedMs,
        deadlineMs: arrivedMs + 10_000,
      },
      0,
    );
    exchanges.delete(requestId);
    if (outcome !== 'answered') throw new Error(`Cannot relay: ${outcome}`);
  };
}

const handleExchange = withDecisions
  ? createRoutingRelay()
  : createPassThroughRelay();
const app = new App({settings: {xPoweredBy: false}});
app.use((request, response) => {
  void handleExchange({request, response}).catch(() => response.destroy());
});
app.listen(port, undefined, '127.0.0.1');
