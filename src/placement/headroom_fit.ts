import {Clock} from '../clock/clock.js';
import {Urgency} from '../contracts/urgency.js';
import {chooseVictims, VictimChoice} from './choose_victims.js';
import {EvictionClaims} from './eviction_claims.js';
import {leftoverScore} from './leftover_score.js';
import {GridIndex} from './grid_index.js';
import {LedgerPlacementPolicy} from './ledger_placement_policy.js';
import {NeighbourCost, SlowdownFunction} from './neighbour_cost.js';
import {
  CommittedTask,
  Placement,
  PlacementRequest,
} from './placement_request.js';
import {RackIndex} from './rack_index.js';
import {ResourceUnits} from './resource_units.js';
import {SpreadGroups} from './spread_groups.js';
import {TaskRecord} from './task_record.js';
import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

/** Maximum number of workers examined in one search. */
const MAX_CANDIDATES = 32;
/** Half of the candidates may come from racks without a task of the group. */
const MAX_RACK_CANDIDATES = 16;
/** Maximum number of candidates from one rack. */
const MAX_PER_RACK = 3;
/**
 * Maximum number of candidates from one grid cell. Workers of one cell have
 * similar free amounts, so candidates from more cells give more choice.
 */
const MAX_PER_CELL = 8;
/**
 * Maximum number of candidates from one grid cell in the search for workers
 * whose tasks can be evicted.
 */
const MAX_PER_CELL_FOR_EVICTION = 2;
/** Cost for each task of the same group in the rack. */
const SAME_RACK_COST = 4;
/** Additional cost for each task of the same group on the worker. */
const SAME_WORKER_COST = 16;
/**
 * Cost of a worker with accelerators for a task that needs none. Exceeds every
 * other cost, so that such workers are the last choice.
 */
const ACCELERATOR_WORKER_COST = 1_000;
/** A smaller held fraction would only exclude tasks that fit exactly. */
const MIN_HELD_FRACTION = 0.001;
/**
 * Reasons kept for the log; recording more would cost more than the decision.
 */
const MAX_REASONS = 4;

/** Options of {@link HeadroomFit}. */
export interface HeadroomFitOptions {
  /**
   * Fraction of the processors and memory reserved for urgent work, 0 to 1.
   *
   * @default 0.04
   */
  headroom?: number;
  /**
   * Slowdown of one kind of work by one neighbour of another; 1 means none.
   *
   * @default no slowdown
   */
  slowdown?: SlowdownFunction;
  /** Weight of the interference relative to the fit. @default 1 */
  interferenceWeight?: number;
  /** See {@link ChooseVictimsOptions.shareUsageRatio}. @default 1 for all */
  shareUsageRatio?: (customer: string) => number;
  /**
   * Clock for `holdHalfLifeMs` and for evictions in progress.
   *
   * @default no capacity is held, and evictions are assumed to be immediate
   */
  clock?: Clock;
  /**
   * Half-life in ms of the capacity that is held for urgent work after it had
   * to evict other work.
   *
   * @default 20000
   */
  holdHalfLifeMs?: number;
  /** Maximum fraction of the pool that is held, 0 to 1. @default 0.05 */
  maxHeldFraction?: number;
  /** Whether urgent work may evict other work. @default true */
  canPreempt?: boolean;
}

interface ScoredCandidate {
  record: WorkerRecord;
  cost: number;
}

/**
 * Best-fit policy that also reserves headroom for urgent work, spreads groups
 * over racks, and avoids estimated interference. Urgent work that fits on no
 * worker evicts the cheapest work of lower urgency. Work that is not urgent
 * never evicts other work, so evictions don't cascade.
 */
export class HeadroomFit extends LedgerPlacementPolicy {
  readonly name = 'headroom fit';
  private readonly groups = new SpreadGroups();
  private readonly free: GridIndex;
  private readonly reclaimable: GridIndex;
  private readonly racks: RackIndex;
  private readonly headroom: number;
  private readonly claims: EvictionClaims | undefined;
  private heldFraction = 0;
  private heldAtMs = 0;
  private readonly neighbours: NeighbourCost | undefined;

  constructor(private readonly options: HeadroomFitOptions = {}) {
    const free = new GridIndex({place: 0, amounts: (record) => record.free});
    const reclaimable = new GridIndex({
      place: 1,
      amounts: (record) => record.reclaimable,
    });
    const racks = new RackIndex();
    super(combineIndexes([free, reclaimable, racks]));
    this.free = free;
    this.reclaimable = reclaimable;
    this.racks = racks;
    this.headroom = options.headroom ?? 0.04;
    if (options.clock) this.claims = new EvictionClaims(options.clock);
    if (options.slowdown) this.neighbours = new NeighbourCost(options.slowdown);
  }

  place(request: PlacementRequest): Placement | undefined {
    const need = ResourceUnits.needed(request.resources);
    const isUrgent = request.urgency === Urgency.URGENT;
    if (!isUrgent && this.wouldUseHeadroom(need)) return undefined;
    const passedOver: Array<{candidate: string; reason: string}> = [];
    const best = this.bestCandidate(request, {need, passedOver});
    if (best) {
      const reason = `lowest cost (${best.cost.toFixed(3)})`;
      return {worker: best.record.worker, reason, victims: [], passedOver};
    }
    if (!isUrgent || this.options.canPreempt === false) return undefined;
    return this.preempt(request, {need, passedOver});
  }

  override commit(task: CommittedTask): void {
    const entry = this.ledger.commit(task);
    this.neighbours?.count(entry, 1);
    this.countInGroup(entry, 1);
  }

  override release(taskId: string): void {
    const entry = this.ledger.release(taskId);
    if (!entry) return;
    this.claims?.release(taskId);
    this.neighbours?.count(entry, -1);
    this.countInGroup(entry, -1);
  }

  private countInGroup({task, record}: TaskRecord, change: 1 | -1): void {
    if (task.spreadGroup === undefined) return;
    const {rack, worker} = record;
    this.groups.count(task.spreadGroup, {rack, worker, change});
  }

  private wouldUseHeadroom(need: ResourceUnits): boolean {
    const free = this.ledger.freeUnits();
    const total = this.ledger.acceptingCapacity();
    return (['processors', 'memory'] as const).some((name) => {
      // The reserve is at most what the task leaves free in an empty pool.
      // Otherwise a task that leaves less than the headroom would never start.
      const left = Math.max(0, total[name] - need[name]);
      const wanted = (this.headroom + this.currentHeldFraction()) * total[name];
      const reserved = Math.min(wanted, left);
      return free[name] - need[name] < reserved;
    });
  }

  /**
   * Returns the fraction of the pool that is held after evictions. Otherwise
   * work of lower urgency would take the freed capacity and be evicted again in
   * the same burst of urgent work.
   */
  private currentHeldFraction(): number {
    const {clock, holdHalfLifeMs = 20_000} = this.options;
    if (!clock || this.heldFraction === 0) return 0;
    const nowMs = clock.nowMs();
    this.heldFraction *= 0.5 ** ((nowMs - this.heldAtMs) / holdHalfLifeMs);
    this.heldAtMs = nowMs;
    if (this.heldFraction < MIN_HELD_FRACTION) this.heldFraction = 0;
    return this.heldFraction;
  }

  /** Holds as much capacity as the task needs, up to the maximum. */
  private holdCapacity(need: ResourceUnits): void {
    const {clock, maxHeldFraction = 0.05} = this.options;
    if (!clock) return;
    const total = this.ledger.acceptingCapacity().processors;
    const heldFraction =
      this.currentHeldFraction() + need.processors / Math.max(1, total);
    this.heldFraction = Math.min(maxHeldFraction, heldFraction);
    this.heldAtMs = clock.nowMs();
  }

  private bestCandidate(
    request: PlacementRequest,
    state: {
      need: ResourceUnits;
      passedOver: Array<{candidate: string; reason: string}>;
    },
  ): ScoredCandidate | undefined {
    const {need, passedOver} = state;
    let best: ScoredCandidate | undefined;
    const examine = (record: WorkerRecord): boolean => {
      if (request.excludedWorkers?.has(record.worker)) {
        note(passedOver, {candidate: record.worker, reason: 'excluded'});
        return false;
      }
      const cost = this.costOf(record, {request, need});
      if (!best || cost < best.cost) best = {record, cost};
      else note(passedOver, {candidate: record.worker, reason: 'higher cost'});
      return false;
    };
    this.neighbours?.beginDecision(request.kind, request.urgency);
    const examined = this.searchRacks(request, {need, examine});
    this.free.search(need, {
      limit: MAX_CANDIDATES - examined,
      maxPerCell: MAX_PER_CELL,
      examine,
    });
    return best;
  }

  /**
   * Examines workers of racks that hold no task of the request's group.
   *
   * @returns The number of workers examined.
   */
  private searchRacks(
    request: PlacementRequest,
    state: {need: ResourceUnits; examine: (record: WorkerRecord) => boolean},
  ): number {
    const group = request.spreadGroup;
    if (group === undefined) return 0;
    return this.racks.search({
      limit: MAX_RACK_CANDIDATES,
      maxPerRack: MAX_PER_RACK,
      skipsRack: (rack) => this.groups.countInRack(group, rack) > 0,
      examine: (record) => {
        if (record.fits(state.need)) state.examine(record);
      },
    });
  }

  private costOf(
    record: WorkerRecord,
    {request, need}: {request: PlacementRequest; need: ResourceUnits},
  ): number {
    let cost = leftoverScore(record, need);
    if (need.accelerators === 0 && record.capacity.accelerators > 0) {
      cost += ACCELERATOR_WORKER_COST;
    }
    const group = request.spreadGroup;
    if (group !== undefined) {
      cost +=
        SAME_RACK_COST * this.groups.countInRack(group, record.rack) +
        SAME_WORKER_COST * this.groups.countOnWorker(group, record.worker);
    }
    if (!this.neighbours) return cost;
    const {interferenceWeight = 1} = this.options;
    return cost + interferenceWeight * this.neighbours.costOn(record);
  }

  private preempt(
    request: PlacementRequest,
    state: {
      need: ResourceUnits;
      passedOver: Array<{candidate: string; reason: string}>;
    },
  ): Placement | undefined {
    const {need, passedOver} = state;
    const {shareUsageRatio} = this.options;
    const isProtected = (taskId: string): boolean =>
      this.claims?.isClaimed(taskId, request.taskId) ?? false;
    let best: {record: WorkerRecord; choice: VictimChoice} | undefined;
    this.reclaimable.search(need, {
      limit: MAX_CANDIDATES,
      maxPerCell: MAX_PER_CELL_FOR_EVICTION,
      largestFirst: true,
      examine: (record) => {
        if (request.excludedWorkers?.has(record.worker)) return false;
        const choice = chooseVictims(record, need, {
          shareUsageRatio,
          isProtected,
        });
        if (choice && (!best || choice.cost < best.choice.cost)) {
          best = {record, choice};
        }
        return false;
      },
    });
    if (!best) return undefined;
    this.holdCapacity(need);
    const {record, choice} = best;
    const victims = choice.victims.map((entry) => entry.task.taskId);
    this.claims?.claim(victims, request.taskId);
    return {
      worker: record.worker,
      reason: `evicts for a cost of ${choice.cost.toFixed(0)}`,
      victims,
      passedOver,
    };
  }
}

function combineIndexes(indexes: readonly WorkerIndex[]): WorkerIndex {
  return {
    update: (record) => indexes.forEach((index) => index.update(record)),
    remove: (record) => indexes.forEach((index) => index.remove(record)),
  };
}

function note(
  reasons: Array<{candidate: string; reason: string}>,
  reason: {candidate: string; reason: string},
): void {
  if (reasons.length < MAX_REASONS) reasons.push(reason);
}
