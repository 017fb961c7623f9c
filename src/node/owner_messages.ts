import {Link} from '../links/link.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {JobPhase} from '../work/job_definition.js';
import {GatewayResult} from './job_gateway.js';

/** Names of what nodes send to the owner and the owner to nodes. */
export const OwnerMessage = {
  /** Node to owner: a job was stored; {@link SubmittedMessage}. */
  SUBMITTED: 'submitted',
  /** Node to owner: a cancellation was stored; {@link JobMessage}. */
  CANCELLED: 'cancelled',
  /** Owner to nodes: phases were stored; {@link PhasesMessage}. */
  PHASES: 'phases',
  /** Owner to nodes: the store refuses the owner; {@link HandOverMessage}. */
  HAND_OVER: 'hand-over',
  /** Request to the owner: submit for a node; {@link RelayedSubmission}. */
  SUBMIT: 'submit',
  /** Request to the owner: cancel for a node; {@link JobMessage}. */
  CANCEL: 'cancel',
  /** Request to the owner: phase of a job; {@link JobMessage}. */
  PHASE: 'phase',
} as const;

/** Names one job. */
export interface JobMessage {
  jobId: string;
}

/** A job that a node has stored. */
export interface SubmittedMessage extends JobMessage {
  /** Encoded submission. */
  submission: Buffer;
}

/** A job that the owner is asked to store. */
export interface RelayedSubmission extends JobMessage {
  /** Encoded submission. */
  submission: Buffer;
  /** Time in ms left to answer. */
  remainingMs: number;
}

/** Phases that the owner has stored. */
export type PhasesMessage = ReadonlyArray<[jobId: string, phase: JobPhase]>;

/** Asks nodes that reach the store to take the partition over. */
export interface HandOverMessage {
  /** Revision of the owner key, which is the token of the owner's term. */
  token: number;
}

/** Answer to a relayed request. */
export interface RelayedResponse {
  codeNumber: number;
  retryAfterMs?: number;
  phase?: JobPhase;
}

/** Turns a gateway's answer into one that can be sent. */
export function toRelayedResponse(result: GatewayResult): RelayedResponse {
  const {code, retryAfterMs, phase} = result;
  return {codeNumber: code.number, retryAfterMs, phase};
}

/** Turns a received answer into a gateway's answer. */
export function fromRelayedResponse(response: RelayedResponse): GatewayResult {
  const {codeNumber, retryAfterMs, phase} = response;
  return {code: findResultCode(codeNumber), retryAfterMs, phase};
}

/** Options of links between nodes; silence is noticed within 2 s. */
export const OWNER_LINK_OPTIONS = {pingIntervalMs: 700, silenceLimitMs: 2000};

/** Sends a message over each link. */
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
