import {Urgency} from '../contracts/urgency.js';
import {
  ResponseSink,
  TargetRequest,
  TargetResult,
} from '../targets/target_client.js';

/** A slot that another entry of the data centre has reserved for this one. */
export interface PeerGrant {
  member: string;
  reservation: string;
  service: string;
}

/** Request for a slot at another entry. */
export interface ReservationRequest {
  service: string;
  customer: string;
  urgency: Urgency;
  /** Time in ms until the deadline. */
  remainingMs: number;
}

/** Slots of targets that other entries of the data centre own. */
export interface PeerSlots {
  /** Returns whether a reservation may succeed now. */
  mayHaveSlot(service: string): boolean;
  /**
   * Reserves a slot; resolves to undefined if none was granted. Never rejects.
   */
  reserve(request: ReservationRequest): Promise<PeerGrant | undefined>;
  /** Releases a grant unused. */
  release(grant: PeerGrant): void;
  /** Sends a request to the target of the grant. Never rejects. */
  send(
    grant: PeerGrant,
    request: TargetRequest,
    sink: ResponseSink,
  ): Promise<TargetResult>;
}
