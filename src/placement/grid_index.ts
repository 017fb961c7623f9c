import {ResourceAmounts} from './resource_amounts.js';
import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

/** Rows of a grid, by processors. */
const ROWS = 64;
/** Columns of a grid, by memory; a row's bit mask has at most 32 bits. */
const COLUMNS = 31;
/** Rows of one processor each; the rest are logarithmic. */
const LINEAR_ROWS = 32;
const UNITS_PER_PROCESSOR = 1000;
/** Memory at which column 1 begins; column 0 holds what is below. */
const SMALLEST_COLUMN_UNITS = 256_000;
/** Class 0: no accelerators; class 1 + n: n free accelerators, at most 16. */
const ACCELERATOR_CLASSES = 18;
const CELLS_PER_CLASS = ROWS * COLUMNS;
/**
 * Maximum fraction of the candidates spent on workers that turn out not to fit,
 * in cells that also contain workers too small for the need.
 */
const MAX_UNCERTAIN_FRACTION = 0.5;

/** Options of {@link GridIndex}. */
export interface GridIndexOptions {
  /** Position of this index in `WorkerRecord.places`. */
  place: number;
  /** Returns the amounts by which a worker is indexed. */
  amounts: (record: WorkerRecord) => ResourceAmounts;
}

/** Options of {@link GridIndex.search}. */
export interface GridSearchOptions {
  /** Maximum number of candidates examined. */
  limit: number;
  /** Maximum number of candidates from one cell. @default limit */
  maxPerCell?: number;
  /** Starts with the workers that have the most. @default false */
  largestFirst?: boolean;
  /** Called with each candidate that fits; true ends the search. */
  examine: (record: WorkerRecord) => boolean;
}

/**
 * Index that sorts workers into cells by processors (rows) and memory
 * (columns), with a separate grid for each number of accelerators. A bit mask
 * per row marks the occupied cells, so a search costs at most one step per row
 * and candidate, independent of the number of workers.
 */
export class GridIndex implements WorkerIndex {
  private readonly cells: Array<WorkerRecord[] | undefined> = [];
  private readonly masks = new Int32Array(ACCELERATOR_CLASSES * ROWS);
  private readonly counts = new Int32Array(ACCELERATOR_CLASSES);
  private readonly place: number;
  private readonly amounts: (record: WorkerRecord) => ResourceAmounts;
  private cursor = 0;

  constructor(options: GridIndexOptions) {
    this.place = options.place;
    this.amounts = options.amounts;
  }

  update(record: WorkerRecord): void {
    const amounts = this.amounts(record);
    const kind = acceleratorClassOf(record, amounts);
    const cell =
      kind * CELLS_PER_CLASS +
      rowOf(amounts.processors) * COLUMNS +
      columnOf(amounts.memory);
    if (record.places[this.place]!.cell === cell) return;
    this.remove(record);
    const members = (this.cells[cell] ??= []);
    const place = record.places[this.place]!;
    place.cell = cell;
    place.position = members.length;
    members.push(record);
    this.counts[kind]! += 1;
    this.setMask(cell, true);
  }

  remove(record: WorkerRecord): void {
    const place = record.places[this.place]!;
    if (place.cell < 0) return;
    const members = this.cells[place.cell]!;
    const last = members.pop()!;
    if (last !== record) {
      members[place.position] = last;
      last.places[this.place]!.position = place.position;
    }
    this.counts[Math.floor(place.cell / CELLS_PER_CLASS)]! -= 1;
    if (members.length === 0) {
      this.setMask(place.cell, false);
      this.cells[place.cell] = undefined;
    }
    place.cell = -1;
  }

  /**
   * Examines workers that may fit, by default starting with those that have the
   * least. For a need without accelerators, workers with accelerators come
   * last.
   *
   * @returns The number of candidates examined.
   */
  search(need: ResourceAmounts, options: GridSearchOptions): number {
    const state: SearchState = {
      need,
      options,
      remaining: options.limit,
      uncertainRemaining: Math.ceil(options.limit * MAX_UNCERTAIN_FRACTION),
    };
    this.cursor = (this.cursor + 1) & 0xffff;
    const first = need.accelerators > 0 ? 1 + need.accelerators : 0;
    for (
      let kind = first;
      kind < ACCELERATOR_CLASSES && state.remaining > 0;
      kind++
    ) {
      if (this.counts[kind]! > 0 && this.searchClass(kind, state)) break;
    }
    return options.limit - state.remaining;
  }

  private searchClass(kind: number, state: SearchState): boolean {
    const {need, options} = state;
    const lowest = rowOf(need.processors);
    const column = columnOf(need.memory);
    const allowed = ~((1 << column) - 1);
    for (let step = lowest; step < ROWS && state.remaining > 0; step++) {
      const row = options.largestFirst ? ROWS - 1 - (step - lowest) : step;
      let mask = this.masks[kind * ROWS + row]! & allowed;
      while (mask !== 0 && state.remaining > 0) {
        const bit = 31 - Math.clz32(mask & -mask);
        mask &= mask - 1;
        const members =
          this.cells[kind * CELLS_PER_CLASS + row * COLUMNS + bit]!;
        // Every worker fits in cells beyond the row and column of the need.
        const isCertain = row > lowest && bit > column;
        if (this.searchCell(members, {state, isCertain})) return true;
      }
    }
    return false;
  }

  private searchCell(
    members: WorkerRecord[],
    {state, isCertain}: {state: SearchState; isCertain: boolean},
  ): boolean {
    const {need, options} = state;
    const maxPerCell = options.maxPerCell ?? options.limit;
    const count = Math.min(members.length, maxPerCell);
    // The start rotates, so that repeated searches examine other members of a
    // cell that has more than the limit.
    const start = members.length > count ? this.cursor % members.length : 0;
    for (let i = 0; i < count && state.remaining > 0; i++) {
      if (!isCertain && state.uncertainRemaining <= 0) return false;
      const record = members[(start + i) % members.length]!;
      state.remaining -= 1;
      if (covers(this.amounts(record), need)) {
        if (options.examine(record)) return true;
      } else {
        state.uncertainRemaining -= 1;
      }
    }
    return false;
  }

  private setMask(cell: number, isOccupied: boolean): void {
    const row = Math.floor(cell / COLUMNS);
    const bit = 1 << (cell % COLUMNS);
    if (isOccupied) this.masks[row]! |= bit;
    else this.masks[row]! &= ~bit;
  }
}

interface SearchState {
  need: ResourceAmounts;
  options: GridSearchOptions;
  remaining: number;
  uncertainRemaining: number;
}

function acceleratorClassOf(
  record: WorkerRecord,
  amounts: ResourceAmounts,
): number {
  if (record.capacity.accelerators === 0) return 0;
  return (
    1 + Math.max(0, Math.min(ACCELERATOR_CLASSES - 2, amounts.accelerators))
  );
}

/** Returns the row: one per processor up to 32, then eight per doubling. */
function rowOf(processors: number): number {
  const amount = processors / UNITS_PER_PROCESSOR;
  if (amount < LINEAR_ROWS) return Math.max(0, Math.floor(amount));
  const row = LINEAR_ROWS + Math.floor(Math.log2(amount / LINEAR_ROWS) * 8);
  return Math.min(ROWS - 1, row);
}

/** Returns the column: two per doubling of the memory, from 256 MB. */
function columnOf(memory: number): number {
  if (memory < SMALLEST_COLUMN_UNITS) return 0;
  const column = 1 + Math.floor(Math.log2(memory / SMALLEST_COLUMN_UNITS) * 2);
  return Math.min(COLUMNS - 1, column);
}

function covers(amounts: ResourceAmounts, need: ResourceAmounts): boolean {
  return (
    amounts.processors >= need.processors &&
    amounts.memory >= need.memory &&
    amounts.accelerators >= need.accelerators
  );
}
