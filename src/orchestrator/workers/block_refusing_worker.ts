import {RefusalReason} from './worker_port.js';
import {WorkerState} from './worker_state.js';

/**
 * Time in ms for which a worker gets no tasks after it has refused a start, by
 * the reason; other reasons do not concern the worker.
 */
const BLOCK_MS: Partial<Record<RefusalReason, number>> = {
  [RefusalReason.UNHEALTHY]: 1500,
  // By then, its poll has failed or a report shows that it is back.
  [RefusalReason.UNREACHABLE]: 500,
  [RefusalReason.NO_ROOM]: 300,
};

/**
 * Blocks a worker that has refused a start, if the reason is the worker.
 *
 * @param options.nowMs - Time in ms of the refusal.
 */
export function blockRefusingWorker(
  worker: WorkerState,
  {reason, nowMs}: {reason: RefusalReason; nowMs: number},
): void {
  const blockMs = BLOCK_MS[reason];
  if (blockMs !== undefined) worker.health.block(nowMs, blockMs);
}
