import {leftoverScore} from './leftover_score.js';
import {GridIndex} from './grid_index.js';
import {LedgerPlacementPolicy} from './ledger_placement_policy.js';
import {Placement, PlacementRequest} from './placement_request.js';
import {ResourceUnits} from './resource_units.js';
import {WorkerRecord} from './worker_record.js';

/** Maximum number of workers compared for one request. */
const MAX_CANDIDATES = 32;

/**
 * Baseline policy: places each task on the candidate worker that is left with
 * the least free capacity.
 */
export class BestFit extends LedgerPlacementPolicy {
  readonly name = 'best fit';

  constructor(
    private readonly index = new GridIndex({
      place: 0,
      amounts: (record) => record.free,
    }),
  ) {
    super(index);
  }

  place(request: PlacementRequest): Placement | undefined {
    const need = ResourceUnits.needed(request.resources);
    const passedOver: Array<{candidate: string; reason: string}> = [];
    let best: WorkerRecord | undefined;
    let bestLeftover = Infinity;
    this.index.search(need, {
      limit: MAX_CANDIDATES,
      examine: (record) => {
        if (request.excludedWorkers?.has(record.worker)) {
          passedOver.push({candidate: record.worker, reason: 'excluded'});
          return false;
        }
        const leftover = leftoverScore(record, need);
        if (leftover < bestLeftover) {
          best = record;
          bestLeftover = leftover;
        }
        return false;
      },
    });
    if (!best) return undefined;
    const reason = `least left over (${bestLeftover.toFixed(3)})`;
    return {worker: best.worker, reason, victims: [], passedOver};
  }
}
