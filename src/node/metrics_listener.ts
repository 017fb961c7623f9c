import {RequestListener, ServerResponse} from 'node:http';

import {
  EvacuatedDataCentre,
  EvacuationsResponse,
} from '../evacuation/evacuations_response.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {GatewayResult} from './gateway_result.js';
import {NodeMetrics} from './node_metrics.js';
import {WhyResponse} from './why_response.js';

/** Options of {@link createMetricsListener}. */
export interface MetricsListenerOptions {
  metrics: NodeMetrics;
  /** Explains jobs. */
  gateway: {explain(jobId: string): Promise<GatewayResult>};
  /** Name of this node. */
  node: string;
  /** Returns the evacuated data centres. */
  evacuations: () => EvacuatedDataCentre[];
  /** Returns the name of the owner of the partition, if it is known. */
  ownerName: () => string | undefined;
}

/** Path of the list of evacuated data centres. */
const EVACUATIONS_PATH = '/evacuations';

/** Path of explanations; the id of a job follows. */
const WHY_PATH = '/why/';

/**
 * Creates the listener of the metrics address, which serves operators: metrics
 * on each path but `/why/ID`, which explains a job, and `/evacuations`.
 */
export function createMetricsListener(
  options: MetricsListenerOptions,
): RequestListener {
  return (request, response) => {
    const path = request.url ?? '';
    if (path.startsWith(WHY_PATH)) {
      const jobId = path.slice(WHY_PATH.length);
      void respondWithExplanation(jobId, response, options);
      return;
    }
    if (path === EVACUATIONS_PATH) {
      respondWithEvacuations(response, options);
      return;
    }
    response.setHeader('content-type', 'text/plain');
    response.end(options.metrics.toPrometheusText());
  };
}

function respondWithEvacuations(
  response: ServerResponse,
  {evacuations, node, ownerName}: MetricsListenerOptions,
): void {
  const body: EvacuationsResponse = {
    node,
    owner: ownerName(),
    evacuations: evacuations(),
  };
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
}

async function respondWithExplanation(
  jobId: string,
  response: ServerResponse,
  {gateway, node, ownerName}: MetricsListenerOptions,
): Promise<void> {
  let result: GatewayResult;
  let message: string | undefined;
  try {
    result = await gateway.explain(jobId);
  } catch (error) {
    result = {code: ResultCodes.INTERNAL};
    ({message} = error as Error);
  }
  const {code, phase, explanation} = result;
  const body: WhyResponse = {
    code: code.number,
    name: code.name,
    message: message ?? meaningOf(code),
    node,
    owner: ownerName(),
    phase,
    explanation,
  };
  response.statusCode = code.httpStatus;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
}

function meaningOf(code: ResultCode): string | undefined {
  if (code === ResultCodes.OK) return undefined;
  if (code === ResultCodes.NOT_FOUND) {
    return 'The owner of the partition does not schedule this job.';
  }
  return code.meaning;
}
