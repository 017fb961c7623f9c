import {NodeLog} from '../logging/node_log.js';
import {JobExplanation} from '../orchestrator/jobs/job_explanation.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {JobPhase} from '../work/job_definition.js';

/** Result of a request to the gateway. */
export interface GatewayResult {
  code: ResultCode;
  /** Time in ms after which the client should retry. @default none */
  retryAfterMs?: number;
  /** Phase of the requested job. @default none */
  phase?: JobPhase;
  /** Number of jobs in a queue of which no task has started. @default none */
  pending?: number;
  /** Why the requested job runs or waits. @default none */
  explanation?: JobExplanation;
}

/** Retry-after time in ms while the store is unreachable. */
const STORE_RETRY_AFTER_MS = 1000;

/** Returns the result of a request that needs the store while it is away. */
export function storeUnavailable(): GatewayResult {
  return {
    code: ResultCodes.PLATFORM_UNAVAILABLE,
    retryAfterMs: STORE_RETRY_AFTER_MS,
  };
}

/**
 * Logs an error and converts it to a result: PLATFORM_UNAVAILABLE if the error
 * has that code, else MAY_HAVE_BEEN_ACCEPTED, since a write may have succeeded.
 *
 * @param request - Name of the log line, and the job it is about.
 */
export function toFailureResult(
  log: NodeLog,
  error: unknown,
  request: {decision: string; jobId: string},
): GatewayResult {
  const code = error instanceof ResultError ? error.code : ResultCodes.INTERNAL;
  log.logDecision(request.decision, {
    job: request.jobId,
    code: code.number,
    reason: (error as Error).message,
  });
  if (code === ResultCodes.PLATFORM_UNAVAILABLE) return storeUnavailable();
  return {code: ResultCodes.MAY_HAVE_BEEN_ACCEPTED};
}
