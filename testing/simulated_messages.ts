import {RandomSource} from '../src/random/random_source.js';

/** Options of {@link SimulatedMessages.schedule}. */
export interface MessageOptions {
  /** Fencing token of the owner that receives it. @default a worker does */
  owner?: number;
}

/** A message in transit. */
interface Message {
  atMs: number;
  owner: number | undefined;
  deliver: () => void;
}

/**
 * Messages in transit between simulated owners and workers. Messages to an owner
 * that is paused wait, and are read in any order once it resumes: they came on
 * different connections.
 */
export class SimulatedMessages {
  private messages: Message[] = [];
  /** Time in ms until which an owner is paused, by its fencing token. */
  private readonly pausedUntilMs = new Map<number, number>();
  /** Owners of which messages have waited since they were paused. */
  private readonly delayedOwners = new Set<number>();

  constructor(private readonly random: RandomSource) {}

  /** Pauses an owner until a time in ms. */
  pause(owner: number, untilMs: number): void {
    this.pausedUntilMs.set(owner, untilMs);
    this.delayedOwners.add(owner);
  }

  /** Whether an owner is paused. */
  isPaused(owner: number, nowMs: number): boolean {
    return nowMs < (this.pausedUntilMs.get(owner) ?? -Infinity);
  }

  /** Schedules the delivery of a message at a time in ms. */
  schedule(
    atMs: number,
    deliver: () => void,
    {owner}: MessageOptions = {},
  ): void {
    this.messages.push({atMs, owner, deliver});
  }

  /** Delivers the messages that are due and whose receiver is not paused. */
  deliverDue(nowMs: number): void {
    const isDue = ({atMs, owner}: Message): boolean =>
      atMs <= nowMs && (owner === undefined || !this.isPaused(owner, nowMs));
    const due = this.messages.filter(isDue);
    this.messages = this.messages.filter((message) => !isDue(message));
    for (const {deliver} of this.inReadingOrder(due, nowMs)) deliver();
  }

  /** Shuffles the messages of owners that have just resumed. */
  private inReadingOrder(due: Message[], nowMs: number): Message[] {
    const resumed = [...this.delayedOwners].filter(
      (owner) => !this.isPaused(owner, nowMs),
    );
    if (resumed.length === 0) return due;
    for (const owner of resumed) this.delayedOwners.delete(owner);
    const ranked = due.map((message) => ({message, rank: this.random.next()}));
    ranked.sort((left, right) => left.rank - right.rank);
    return ranked.map(({message}) => message);
  }
}
