import {FirstFitIndex} from './first_fit_index.js';
import {LedgerPlacementPolicy} from './ledger_placement_policy.js';
import {Placement, PlacementRequest} from './placement_request.js';
import {ResourceUnits} from './resource_units.js';

/** Maximum number of workers examined for one request. */
const MAX_CANDIDATES = 32;

/**
 * Baseline policy: places each task on the first worker that fits, in the order
 * in which workers were added.
 */
export class FirstFit extends LedgerPlacementPolicy {
  readonly name = 'first fit';

  constructor(private readonly index = new FirstFitIndex()) {
    super(index);
  }

  place(request: PlacementRequest): Placement | undefined {
    const passedOver: Array<{candidate: string; reason: string}> = [];
    let worker: string | undefined;
    this.index.search(ResourceUnits.needed(request.resources), {
      limit: MAX_CANDIDATES,
      examine: (record) => {
        if (request.excludedWorkers?.has(record.worker)) {
          passedOver.push({candidate: record.worker, reason: 'excluded'});
          return false;
        }
        worker = record.worker;
        return true;
      },
    });
    if (worker === undefined) return undefined;
    return {worker, reason: 'first that fits', victims: [], passedOver};
  }
}
