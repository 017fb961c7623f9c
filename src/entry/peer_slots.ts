import {Urgency} from '../contracts/urgency.js';
import {
  ResponseSink,
  TargetRequest,
  TargetResult,
} from '../targets/target_client.js';

/** Slot that another entry of the data centre holds for this one. */
export interface PeerGrant {
  member: string;
  reservation: string;
  service: string;
}

/** For whom a slot is reserved. */
export interface ReservationRequest {
  service: string;
  customer: string;
  urgency: Urgency;
  /** Time in ms left until the deadline. */
  remainingMs: number;
}

/** Slots of targets that other entries of the data centre own. */
export interface PeerSlots {
  /** Tells whether a reservation may succeed now. */
  mayHaveSlot(service: string): boolean;
  /** Reserves a slot; undefined if none was granted. Never rejects. */
  reserve(request: ReservationRequest): Promise<PeerGrant | undefined>;
  /** Gives a grant back unused. */
  release(grant: PeerGrant): void;
  /** Sends a request to the target behind the grant. Never rejects. */
  send(
    grant: PeerGrant,
    request: TargetRequest,
    sink: ResponseSink,
  ): Promise<TargetResult>;
}
