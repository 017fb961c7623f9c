import {ResourceAmounts} from './resource_amounts.js';
import {WorkerIndex} from './worker_index.js';
import {WorkerRecord} from './worker_record.js';

const ROWS = 64;
const COLUMNS = 31;
const LINEAR_ROWS = 32;
const UNITS_PER_PROCESSOR = 1000;
const SMALLEST_COLUMN_UNITS = 256_000;
/** Class 0: no accelerators; class 1 + n: n free accelerators, at most 16. */
const ACCELERATOR_CLASSES = 18;
const CELLS_PER_CLASS = ROWS * COLUMNS;
/** Part of the candidates that may come from cells that hold misfits too. */
const MAX_UNCERTAIN_FRACTION = 0.5;

/** Options of {@link GridIndex}. */
export interface GridIndexOptions {
  /** Number of the entry of `WorkerRecord.places` that belongs to this index. */
  place: number;
  /** Amounts by which workers are sorted. */
  amounts: (record: WorkerRecord) => ResourceAmounts;
}

/** Options of {@link GridIndex.search}. */
export interface GridSearchOptions {
  /** Most candidates that are looked at. */
  limit: number;
  /** Most candidates from one cell. @default limit */
  maxPerCell?: number;
  /** Begins with the workers that have most. @default false */
  largestFirst?: boolean;
  /** Called with each candidate that fits; true ends the search. */
  examine: (record: WorkerRecord) => boolean;
}

/**
 * Workers in cells by free processors (rows) and free memory (columns), with a
 * separate grid for each number of free accelerators. A bit mask for each row
 * tells which cells are occupied, so a search costs at most one step per row
 * and candidate, however many workers there are.
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
   * Looks at workers that may fit, beginning with those that have least.
   * Workers with accelerators come last for a need without any.
   *
   * @returns The number of candidates that were looked at.
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
    // A moving start lets a repeated search see other members of full cells.
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

/** One row per processor up to 32, then eight rows per doubling. */
function rowOf(processors: number): number {
  const whole = processors / UNITS_PER_PROCESSOR;
  if (whole < LINEAR_ROWS) return Math.max(0, Math.floor(whole));
  const row = LINEAR_ROWS + Math.floor(Math.log2(whole / LINEAR_ROWS) * 8);
  return Math.min(ROWS - 1, row);
}

/** Two columns per doubling of the memory, from 256 MB. */
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
