import {createHash} from 'node:crypto';

import {z} from 'zod';

import {ClaimRecord, HeldClaim} from '../claims/claim_record.js';
import {ClaimStore} from '../claims/claim_store.js';
import {StoredAnswer, StoredAnswers} from '../claims/stored_answers.js';
import {Clock} from '../clock/clock.js';
import {PeerNetwork} from '../links/peer_network.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  KeyedCall,
  KeyedCallEnd,
  KeyedCallRunner,
  KeyedRequest,
} from './keyed_call_runner.js';
import {ServiceCallEnd} from './service_call_end.js';

/** Options of {@link ClaimedCallRunner}. */
export interface ClaimedCallRunnerOptions {
  claims: ClaimStore;
  answers: StoredAnswers;
  clock: Clock;
  network: Pick<PeerNetwork, 'identity' | 'onRequest' | 'request'>;
}

/** Name of the peer request for a response that another entry stored. */
export const STORED_RESPONSE_REQUEST = 'storedAnswer';

const STORED_RESPONSE_TIMEOUT_MS = 500;

// A claim for a request that did not run is released before the caller gets the
// result, so that a retry can run. A slow platform delays the result at most
// this long.
const MAX_RELEASE_WAIT_MS = 300;

const storedResponseRequestSchema = z.object({attempt: z.string()});

const storedResponseSchema = z.object({
  answer: z
    .object({
      status: z.int(),
      headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
      body: z.instanceof(Uint8Array),
    })
    .optional(),
});

type ClaimOutcome = {claim: HeldClaim} | {refusal: KeyedCallEnd};

/**
 * Runs each keyed request at most once, by claiming its key at the platform.
 */
export class ClaimedCallRunner implements KeyedCallRunner {
  /** Claimed attempts whose requests are running at this entry. */
  private readonly running = new Set<string>();

  constructor(private readonly options: ClaimedCallRunnerOptions) {
    options.network.onRequest(STORED_RESPONSE_REQUEST, (body) => {
      const {attempt} = storedResponseRequestSchema.parse(body);
      return Promise.resolve({answer: options.answers.get(attempt)});
    });
  }

  async run(
    request: KeyedRequest,
    submit: (call: KeyedCall) => Promise<ServiceCallEnd>,
  ): Promise<KeyedCallEnd> {
    const fingerprint = fingerprintOf(request);
    let pendingClaim: Promise<ClaimOutcome> | undefined;
    const end = await submit({
      acquireClaim: async () => {
        pendingClaim = this.claim(request, fingerprint);
        return 'claim' in (await pendingClaim);
      },
    });
    const outcome = await pendingClaim;
    if (!outcome) return end;
    return 'claim' in outcome
      ? this.finishClaim(outcome.claim, end)
      : outcome.refusal;
  }

  /** Stores the response, or releases the claim if the request did not run. */
  private async finishClaim(
    claim: HeldClaim,
    end: ServiceCallEnd,
  ): Promise<KeyedCallEnd> {
    const {attempt} = claim.record;
    this.running.delete(attempt);
    if (end.code.outcome === Outcome.DID_NOT_RUN) {
      await this.options.claims.release(claim, MAX_RELEASE_WAIT_MS);
    } else if (end.response) {
      this.options.answers.put(attempt, end.response);
    }
    return end;
  }

  private async claim(
    request: KeyedRequest,
    fingerprint: string,
  ): Promise<ClaimOutcome> {
    const {customer, caller, key, deadlineMs} = request;
    try {
      const result = await this.options.claims.claim({
        customer,
        caller,
        key,
        fingerprint,
        deadlineMs,
      });
      if (result.kind === 'granted') {
        this.running.add(result.claim.record.attempt);
        return {claim: result.claim};
      }
      return {refusal: await this.handleDuplicate(result.record, fingerprint)};
    } catch (error) {
      return {refusal: claimFailure(error as Error)};
    }
  }

  /** Determines the result of a request whose key is already claimed. */
  private async handleDuplicate(
    record: ClaimRecord,
    fingerprint: string,
  ): Promise<KeyedCallEnd> {
    if (record.fingerprint !== fingerprint) {
      return {
        code: ResultCodes.BAD_REQUEST,
        text: 'Cannot accept: the idempotency key was used for a different request',
      };
    }
    const replayed = await this.findStoredResponse(record);
    if (replayed) {
      return {code: ResultCodes.REPLAYED, text: 'replayed', replayed};
    }
    const isRunning = this.running.has(record.attempt);
    return {
      code: ResultCodes.KEY_IN_USE,
      text: isRunning
        ? 'Cannot respond: the request with this idempotency key is running'
        : 'Cannot respond: the response for this idempotency key is not available',
      retryAfterMs: isRunning ? 1000 : undefined,
    };
  }

  private async findStoredResponse(
    record: ClaimRecord,
  ): Promise<StoredAnswer | undefined> {
    const {network, answers} = this.options;
    const {member, attempt} = record;
    if (member === network.identity.member) return answers.get(attempt);
    try {
      const reply = await network.request(
        {role: network.identity.role, member},
        STORED_RESPONSE_REQUEST,
        {body: {attempt}, timeoutMs: STORED_RESPONSE_TIMEOUT_MS},
      );
      const {answer} = storedResponseSchema.parse(reply);
      return answer && {...answer, body: Buffer.from(answer.body)};
    } catch {
      return undefined;
    }
  }
}

function claimFailure(error: Error): KeyedCallEnd {
  const isKnown = error instanceof ResultError;
  return {
    code: isKnown ? error.code : ResultCodes.PLATFORM_UNAVAILABLE,
    text: error.message,
    retryAfterMs: 1000,
  };
}

function fingerprintOf({content}: KeyedRequest): string {
  return createHash('sha256')
    .update(`${content.method} ${content.path}\n`)
    .update(content.body ?? '(streamed)')
    .digest('hex');
}
