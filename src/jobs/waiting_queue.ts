import {URGENCIES, Urgency} from '../contracts/urgency.js';

/** A task that waits for a worker. */
export interface WaitingEntry {
  taskId: string;
  customer: string;
  urgency: Urgency;
  /** Time in ms from which the wait counts. */
  sinceMs: number;
  /** Work in processor seconds that the customer is charged with. */
  cost: number;
}

/** Options of {@link WaitingQueue}. */
export interface WaitingQueueOptions {
  /** Weight of a customer from its contract. @default 1 for all */
  shareOf?: (customer: string) => number;
  /** Wait in ms that raises a task by one urgency class. @default 600000 */
  agingMs?: number;
  /** Entries that may be tried in vain in one pass. @default 32 */
  mostFailures?: number;
}

interface Line {
  customer: string;
  virtualTime: number;
  entries: WaitingEntry[];
  /** Entries before this index are taken. */
  head: number;
}

/** Failures after which a pass leaves a customer's line. */
const LINE_FAILURES = 4;

/**
 * Waiting tasks by urgency class; inside a class, customers by weighted
 * virtual time; inside a customer, in order of arrival. Removal marks an entry
 * and costs O(1).
 */
export class WaitingQueue {
  private readonly classes = new Map<Urgency, Line[]>(
    URGENCIES.map((urgency) => [urgency, []]),
  );
  private readonly lines = new Map<string, Line>();
  private readonly present = new Map<string, WaitingEntry>();
  private readonly counts = new Map<string, number>();
  private readonly virtualTimes = new Map<string, number>();
  private readonly floors = new Map<Urgency, number>();

  constructor(private readonly options: WaitingQueueOptions = {}) {}

  /** Number of waiting tasks. */
  get size(): number {
    return this.present.size;
  }

  /** Tells whether a task waits here. */
  has(taskId: string): boolean {
    return this.present.has(taskId);
  }

  /** Adds a task, or replaces its entry. */
  add(entry: WaitingEntry): void {
    this.remove(entry.taskId);
    this.present.set(entry.taskId, entry);
    this.countOne(entry, 1);
    const key = `${entry.urgency} ${entry.customer}`;
    const line = this.lines.get(key);
    if (line) {
      line.entries.push(entry);
      return;
    }
    const fresh: Line = {
      customer: entry.customer,
      // A customer that was absent gets no credit for that time.
      virtualTime: Math.max(
        this.floors.get(entry.urgency) ?? 0,
        this.virtualTimes.get(key) ?? 0,
      ),
      entries: [entry],
      head: 0,
    };
    this.lines.set(key, fresh);
    pushLine(this.classes.get(entry.urgency)!, fresh);
  }

  /** Takes a task out; no effect if it does not wait. */
  remove(taskId: string): void {
    const entry = this.present.get(taskId);
    if (!entry) return;
    this.present.delete(taskId);
    this.countOne(entry, -1);
  }

  /** Number of a customer's waiting tasks of one class. */
  waitingOf(customer: string, urgency: Urgency): number {
    return this.counts.get(`${urgency} ${customer}`) ?? 0;
  }

  /**
   * Offers waiting tasks in their order until too many can't be taken.
   *
   * @param nowMs - Time for the age of entries.
   * @param take - Returns true if it took the task.
   */
  pass(nowMs: number, take: (entry: WaitingEntry) => boolean): void {
    let failures = this.options.mostFailures ?? 32;
    for (const heap of this.inOrder(nowMs)) {
      const setAside: Line[] = [];
      while (heap.lines.length > 0 && failures > 0) {
        const line = popLine(heap.lines)!;
        const taken = this.offer(line, take);
        failures -= taken.failures;
        if (taken.entry) this.charge(heap.urgency, line, taken.entry);
        if (line.head >= line.entries.length) {
          this.lines.delete(`${heap.urgency} ${line.customer}`);
        } else if (taken.entry) pushLine(heap.lines, line);
        else setAside.push(line);
      }
      for (const line of setAside) pushLine(heap.lines, line);
    }
  }

  private countOne(entry: WaitingEntry, change: 1 | -1): void {
    const key = `${entry.urgency} ${entry.customer}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + change);
  }

  /** Classes by urgency; one whose next entry is old enough goes first. */
  private inOrder(nowMs: number): Array<{urgency: Urgency; lines: Line[]}> {
    const {agingMs = 600_000} = this.options;
    return URGENCIES.map((urgency, rank) => {
      const lines = this.classes.get(urgency)!;
      const line = lines[0];
      const next = line && this.nextOf(line);
      const ageMs = next ? nowMs - next.sinceMs : 0;
      return {urgency, lines, rank: rank - Math.floor(ageMs / agingMs)};
    }).sort((a, b) => a.rank - b.rank);
  }

  private nextOf(line: Line): WaitingEntry | undefined {
    while (line.head < line.entries.length) {
      const entry = line.entries[line.head]!;
      if (this.present.get(entry.taskId) === entry) return entry;
      line.head += 1;
    }
    return undefined;
  }

  private offer(
    line: Line,
    take: (entry: WaitingEntry) => boolean,
  ): {entry?: WaitingEntry; failures: number} {
    let failures = 0;
    this.nextOf(line);
    for (let at = line.head; at < line.entries.length; at++) {
      const entry = line.entries[at]!;
      if (this.present.get(entry.taskId) !== entry) continue;
      if (take(entry)) {
        // The taker may have put the task back already.
        if (this.present.get(entry.taskId) === entry) {
          this.remove(entry.taskId);
        }
        this.nextOf(line);
        this.compact(line);
        return {entry, failures};
      }
      failures += 1;
      if (failures >= LINE_FAILURES) break;
    }
    return {failures};
  }

  private charge(urgency: Urgency, line: Line, entry: WaitingEntry): void {
    this.floors.set(urgency, line.virtualTime);
    const share = this.options.shareOf?.(line.customer) ?? 1;
    line.virtualTime += entry.cost / share;
    this.virtualTimes.set(`${urgency} ${line.customer}`, line.virtualTime);
  }

  private compact(line: Line): void {
    if (line.head < 1024 || line.head < line.entries.length / 2) return;
    line.entries.splice(0, line.head);
    line.head = 0;
  }
}

function pushLine(heap: Line[], line: Line): void {
  let at = heap.push(line) - 1;
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (heap[parent]!.virtualTime <= line.virtualTime) break;
    heap[at] = heap[parent]!;
    at = parent;
  }
  heap[at] = line;
}

function popLine(heap: Line[]): Line | undefined {
  const top = heap[0];
  const last = heap.pop();
  if (top === undefined || last === undefined || heap.length === 0) return top;
  let at = 0;
  for (;;) {
    let child = 2 * at + 1;
    if (child >= heap.length) break;
    const right = heap[child + 1];
    if (right && right.virtualTime < heap[child]!.virtualTime) child += 1;
    if (heap[child]!.virtualTime >= last.virtualTime) break;
    heap[at] = heap[child]!;
    at = child;
  }
  heap[at] = last;
  return top;
}
