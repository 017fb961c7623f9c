import {Link} from '../links/link.js';
import {JobExplanation} from '../orchestrator/jobs/job_explanation.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {JobPhase} from '../work/job_definition.js';
import {GatewayResult} from './gateway_result.js';

/** Names of the messages and requests between the owner and other nodes. */
export const OwnerMessage = {
  /** Node to owner: a job was stored; {@link SubmittedMessage}. */
  SUBMITTED: 'submitted',
  /** Node to owner: a cancellation was stored; {@link JobMessage}. */
  CANCELLED: 'cancelled',
  /** Owner to nodes: owner cannot reach the store; {@link HandOverMessage}. */
  HAND_OVER: 'hand-over',
  /** Request to the owner: submit a job; {@link RelayedSubmission}. */
  SUBMIT: 'submit',
  /** Request to the owner: cancel a job; {@link JobMessage}. */
  CANCEL: 'cancel',
  /** Request to the owner: return the phase of a job; {@link JobMessage}. */
  PHASE: 'phase',
  /** Request to the owner: count waiting jobs; {@link QueueMessage}. */
  PENDING: 'pending',
  /** Request to the owner: explain a job; {@link JobMessage}. */
  EXPLAIN: 'explain',
} as const;

/** Message about one job. */
export interface JobMessage {
  jobId: string;
}

/** A job that a node has stored. */
export interface SubmittedMessage extends JobMessage {
  /** Encoded submission. */
  submission: Buffer;
}

/** Request that the owner store a job on behalf of a node. */
export interface RelayedSubmission extends JobMessage {
  /** Encoded submission. */
  submission: Buffer;
  /** Time in ms left for the response. */
  remainingMs: number;
}

/** Request about one queue. */
export interface QueueMessage {
  queue: string;
}

/** Requests that a node which can reach the store takes over the partition. */
export interface HandOverMessage {
  /** Token of the owner's term, which is the revision of its owner key. */
  token: number;
}

/** Response of the owner to a relayed request. */
export interface RelayedResponse {
  codeNumber: number;
  retryAfterMs?: number;
  phase?: JobPhase;
  pending?: number;
  explanation?: JobExplanation;
}

/** Converts a gateway result to its wire form. */
export function toRelayedResponse(result: GatewayResult): RelayedResponse {
  const {code, retryAfterMs, phase, pending, explanation} = result;
  const codeNumber = code.number;
  return {codeNumber, retryAfterMs, phase, pending, explanation};
}

/** Converts a received response to a gateway result. */
export function fromRelayedResponse(response: RelayedResponse): GatewayResult {
  const {codeNumber, retryAfterMs, phase, pending, explanation} = response;
  const code = findResultCode(codeNumber);
  return {code, retryAfterMs, phase, pending, explanation};
}

/** Options of links between nodes; a silent peer is detected within 2 s. */
export const OWNER_LINK_OPTIONS = {pingIntervalMs: 700, silenceLimitMs: 2000};

/** Sends a message over all given links. */
export function broadcast(
  links: Iterable<Link>,
  name: string,
  body: unknown,
): void {
  for (const link of links) link.send(name, body);
}

function findResultCode(number: number): ResultCode {
  const codes: readonly ResultCode[] = Object.values(ResultCodes);
  return codes.find((code) => code.number === number) ?? ResultCodes.INTERNAL;
}
