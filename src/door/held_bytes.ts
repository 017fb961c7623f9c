import {DoorRefusal, RecordRefusal} from './door_refusal.js';

/** Memory that one request holds; see {@link HeldBytes}. */
export interface HeldShare {
  /** Bytes that the request holds. */
  readonly bytes: number;
  /**
   * Adds bytes; returns false if they cannot be had, also by closing others.
   */
  grow(bytes: number): boolean;
  /** Records that the body is complete, so that it is not closed any more. */
  complete(): void;
  /** Gives all bytes back. */
  release(): void;
}

/**
 * Budget of the bytes that the bodies of all requests hold. When it is used up,
 * the oldest body that is not complete makes room: a sound one is complete
 * within a round trip or two, one that stops short of its end grows old.
 */
export class HeldBytes {
  private used = 0;
  /** Shares of bodies that are not complete, oldest first. */
  private readonly incomplete = new Set<Share>();

  /**
   * @param limit - Budget in bytes.
   * @param recordRefusal - Called with each body that is closed.
   */
  constructor(
    private readonly limit: number,
    private readonly recordRefusal: RecordRefusal = () => undefined,
  ) {}

  /** Bytes that are held now. */
  get usedBytes(): number {
    return this.used;
  }

  /**
   * Opens the share of a request.
   *
   * @param close - Closes the request to give its bytes to others.
   */
  open(close: () => void): HeldShare {
    const share = new Share(this, close);
    this.incomplete.add(share);
    return share;
  }

  /** Takes bytes for a share; closes older requests if that is needed. */
  take(share: Share, bytes: number): boolean {
    for (const other of this.incomplete) {
      if (this.used + bytes <= this.limit) break;
      if (other === share || other.bytes === 0) continue;
      this.recordRefusal(DoorRefusal.INCOMPLETE_BODY);
      other.close();
    }
    if (this.used + bytes > this.limit) return false;
    this.used += bytes;
    return true;
  }

  /** Records that the body of a share is complete or given up. */
  settle(share: Share): void {
    this.incomplete.delete(share);
  }

  /** Gives bytes back. */
  giveBack(bytes: number): void {
    this.used -= bytes;
  }
}

class Share implements HeldShare {
  bytes = 0;

  constructor(
    private readonly budget: HeldBytes,
    private readonly closeRequest: () => void,
  ) {}

  grow(bytes: number): boolean {
    if (!this.budget.take(this, bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  complete(): void {
    this.budget.settle(this);
  }

  release(): void {
    this.budget.settle(this);
    this.budget.giveBack(this.bytes);
    this.bytes = 0;
  }

  close(): void {
    this.release();
    this.closeRequest();
  }
}
