import {URGENCIES, Urgency} from '../contracts/urgency.js';

/** A task that waits for a worker. */
export interface WaitingEntry {
  taskId: string;
  customer: string;
  urgency: Urgency;
  /** Time in ms at which the wait started. */
  sinceMs: number;
  /** Work in processor seconds that is charged to the customer. */
  cost: number;
}

/** Options of {@link WaitingQueue}. */
export interface WaitingQueueOptions {
  /** Returns a customer's weight from its contract. @default 1 for all */
  shareOf?: (customer: string) => number;
  /** Wait in ms that raises a task by one urgency class. @default 600000 */
  agingMs?: number;
  /** Maximum number of rejected entries in one dispatch. @default 32 */
  maxFailures?: number;
}

/** Waiting tasks of one customer in one urgency class. */
interface CustomerQueue {
  customer: string;
  virtualTime: number;
  entries: WaitingEntry[];
  /** Index of the first entry that may still wait. */
  head: number;
}

/**
 * Rejected entries after which a dispatch skips the rest of a customer queue.
 */
const MAX_FAILURES_PER_CUSTOMER = 4;

/**
 * Queue of waiting tasks. Tasks are ordered by urgency class; within a class,
 * customers by weighted virtual time (weighted fair queueing); within a
 * customer, by arrival. Removal is lazy and takes O(1).
 */
export class WaitingQueue {
  /** Customer queues by class, each a heap ordered by virtual time. */
  private readonly classes = new Map<Urgency, CustomerQueue[]>(
    URGENCIES.map((urgency) => [urgency, []]),
  );
  private readonly queues = new Map<string, CustomerQueue>();
  private readonly entriesByTask = new Map<string, WaitingEntry>();
  private readonly counts = new Map<string, number>();
  private readonly virtualTimes = new Map<string, number>();
  /** Virtual time of the customer that was served last, by class. */
  private readonly minVirtualTimes = new Map<Urgency, number>();

  constructor(private readonly options: WaitingQueueOptions = {}) {}

  /** Number of waiting tasks. */
  get size(): number {
    return this.entriesByTask.size;
  }

  /** Returns whether a task is waiting. */
  has(taskId: string): boolean {
    return this.entriesByTask.has(taskId);
  }

  /** Adds a task, or replaces its entry. */
  add(entry: WaitingEntry): void {
    this.remove(entry.taskId);
    this.entriesByTask.set(entry.taskId, entry);
    this.adjustCount(entry, 1);
    const key = `${entry.urgency} ${entry.customer}`;
    const queue = this.queues.get(key);
    if (queue) {
      queue.entries.push(entry);
      return;
    }
    const created: CustomerQueue = {
      customer: entry.customer,
      // A customer gets no credit for time without waiting tasks.
      virtualTime: Math.max(
        this.minVirtualTimes.get(entry.urgency) ?? 0,
        this.virtualTimes.get(key) ?? 0,
      ),
      entries: [entry],
      head: 0,
    };
    this.queues.set(key, created);
    pushQueue(this.classes.get(entry.urgency)!, created);
  }

  /** Removes a task; no effect if it is not waiting. */
  remove(taskId: string): void {
    const entry = this.entriesByTask.get(taskId);
    if (!entry) return;
    this.entriesByTask.delete(taskId);
    this.adjustCount(entry, -1);
  }

  /** Returns the number of a customer's waiting tasks in one class. */
  waitingOf(customer: string, urgency: Urgency): number {
    return this.counts.get(`${urgency} ${customer}`) ?? 0;
  }

  /**
   * Offers waiting tasks in order until too many are rejected.
   *
   * @param nowMs - Current time in ms, from which the age of entries follows.
   * @param accept - Returns true if it accepts the task, which is then removed.
   */
  dispatch(nowMs: number, accept: (entry: WaitingEntry) => boolean): void {
    let failures = this.options.maxFailures ?? 32;
    for (const heap of this.classesInOrder(nowMs)) {
      const skipped: CustomerQueue[] = [];
      while (heap.queues.length > 0 && failures > 0) {
        const queue = popQueue(heap.queues)!;
        const offered = this.offerFrom(queue, accept);
        failures -= offered.failures;
        if (offered.entry) this.charge(heap.urgency, queue, offered.entry);
        if (queue.head >= queue.entries.length) {
          this.queues.delete(`${heap.urgency} ${queue.customer}`);
        } else if (offered.entry) pushQueue(heap.queues, queue);
        else skipped.push(queue);
      }
      for (const queue of skipped) pushQueue(heap.queues, queue);
    }
  }

  private adjustCount(entry: WaitingEntry, change: 1 | -1): void {
    const key = `${entry.urgency} ${entry.customer}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + change);
  }

  /** Returns the classes by urgency, raised by the age of their next entry. */
  private classesInOrder(
    nowMs: number,
  ): Array<{urgency: Urgency; queues: CustomerQueue[]}> {
    const {agingMs = 600_000} = this.options;
    return URGENCIES.map((urgency, rank) => {
      const queues = this.classes.get(urgency)!;
      const queue = queues[0];
      const next = queue && this.nextOf(queue);
      const ageMs = next ? nowMs - next.sinceMs : 0;
      return {urgency, queues, rank: rank - Math.floor(ageMs / agingMs)};
    }).sort((a, b) => a.rank - b.rank);
  }

  /** Skips removed entries and returns the next one. */
  private nextOf(queue: CustomerQueue): WaitingEntry | undefined {
    while (queue.head < queue.entries.length) {
      const entry = queue.entries[queue.head]!;
      if (this.entriesByTask.get(entry.taskId) === entry) return entry;
      queue.head += 1;
    }
    return undefined;
  }

  private offerFrom(
    queue: CustomerQueue,
    accept: (entry: WaitingEntry) => boolean,
  ): {entry?: WaitingEntry; failures: number} {
    let failures = 0;
    this.nextOf(queue);
    for (let at = queue.head; at < queue.entries.length; at++) {
      const entry = queue.entries[at]!;
      if (this.entriesByTask.get(entry.taskId) !== entry) continue;
      if (accept(entry)) {
        // `accept` may have added the task again.
        if (this.entriesByTask.get(entry.taskId) === entry) {
          this.remove(entry.taskId);
        }
        this.nextOf(queue);
        this.compact(queue);
        return {entry, failures};
      }
      failures += 1;
      if (failures >= MAX_FAILURES_PER_CUSTOMER) break;
    }
    return {failures};
  }

  /** Advances the virtual time of a customer by the cost of an entry. */
  private charge(
    urgency: Urgency,
    queue: CustomerQueue,
    entry: WaitingEntry,
  ): void {
    this.minVirtualTimes.set(urgency, queue.virtualTime);
    const share = this.options.shareOf?.(queue.customer) ?? 1;
    queue.virtualTime += entry.cost / share;
    this.virtualTimes.set(`${urgency} ${queue.customer}`, queue.virtualTime);
  }

  /** Releases the memory of removed entries. */
  private compact(queue: CustomerQueue): void {
    if (queue.head < 1024 || queue.head < queue.entries.length / 2) return;
    queue.entries.splice(0, queue.head);
    queue.head = 0;
  }
}

function pushQueue(heap: CustomerQueue[], queue: CustomerQueue): void {
  let at = heap.push(queue) - 1;
  while (at > 0) {
    const parent = (at - 1) >> 1;
    if (heap[parent]!.virtualTime <= queue.virtualTime) break;
    heap[at] = heap[parent]!;
    at = parent;
  }
  heap[at] = queue;
}

function popQueue(heap: CustomerQueue[]): CustomerQueue | undefined {
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
