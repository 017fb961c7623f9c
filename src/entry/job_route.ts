import {createHash, randomUUID} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';

import {App, Request, Response} from '@tinyhttp/app';
import {z} from 'zod';

import {
  AuthenticatedCaller,
  ConfigurationView,
} from '../contracts/configuration_view.js';
import {jobSchema} from '../jobs/job.js';
import {PeerNetwork} from '../links/peer_network.js';
import {Outcome} from '../result_codes/outcome.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {EntryLimits} from './entry_settings.js';
import {RequestBody} from './request_body.js';
import {resultHeaders, writeResult} from './result_headers.js';

/** Options of {@link JobRoute}. */
export interface JobRouteOptions {
  configuration: ConfigurationView;
  network: PeerNetwork;
  /** Schedulers of this data centre, the one on this VM first. */
  schedulers: readonly string[];
  limits: EntryLimits;
  /** Returns why no new request is accepted, if none is. */
  refusal: () => {code: ResultCode; text: string} | undefined;
}

/** What a scheduler answers about a job. */
interface SchedulerAnswer {
  jobId: string;
  /** Number of the result code. */
  code: number;
}

const SCHEDULER_ROLE = 'scheduler';
const DEFAULT_TIMEOUT_MS = 10_000;
const LARGEST_TIMEOUT_MS = 600_000;

/** A job has to fit into a page of jobs with others. */
const LARGEST_JOB_BYTES = 16_384;

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** Separates the customer from the rest of a job id; not in customer names. */
const ID_SEPARATOR = '.';

const submissionSchema = jobSchema
  .omit({id: true, customer: true, caller: true})
  .strict();

const CODES_BY_NUMBER = new Map<number, ResultCode>(
  Object.values(ResultCodes).map((code) => [code.number, code]),
);

/** Serves `/v1/jobs`: passes jobs to the schedulers of the data centre. */
export class JobRoute {
  constructor(private readonly options: JobRouteOptions) {}

  /** Adds the routes. */
  mount(app: App<Request, Response>): void {
    app.post('/v1/jobs', (request, response) =>
      this.serve(request, response, (caller) => this.submit(request, caller)),
    );
    app.get('/v1/jobs/:id', (request, response) =>
      this.serve(request, response, (caller) =>
        this.ask('jobStatus', request.params['id']!, caller, request),
      ),
    );
    app.delete('/v1/jobs/:id', (request, response) =>
      this.serve(request, response, (caller) =>
        this.ask('cancel', request.params['id']!, caller, request),
      ),
    );
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    handle: (caller: AuthenticatedCaller) => Promise<SchedulerAnswer>,
  ): Promise<void> {
    const requestId = randomUUID();
    try {
      const refusal = this.options.refusal();
      if (refusal) throw new ResultError(refusal.code, refusal.text);
      const answer = await handle(this.authenticate(request));
      writeAnswer(response, requestId, answer);
    } catch (error) {
      const known = error instanceof ResultError ? error : undefined;
      writeResult(response, requestId, {
        code: known?.code ?? ResultCodes.INTERNAL,
        text: (error as Error).message,
        retryAfterMs: known?.retryAfterMs,
      });
    }
  }

  private authenticate(request: IncomingMessage): AuthenticatedCaller {
    const match = BEARER.exec(request.headers.authorization ?? '');
    const caller = match && this.options.configuration.authenticate(match[1]!);
    if (caller) return caller;
    throw new ResultError(
      ResultCodes.UNAUTHENTICATED,
      'Cannot accept request: the key is missing or unknown',
    );
  }

  private async submit(
    request: IncomingMessage,
    caller: AuthenticatedCaller,
  ): Promise<SchedulerAnswer> {
    const given = await this.readSubmission(request);
    const {customer} = caller.contract;
    const key = request.headers['idempotency-key'];
    const id = jobIdOf(customer, typeof key === 'string' ? key : undefined);
    const job = {...given, id, customer, caller: caller.caller};
    return this.callScheduler('submit', {job}, timeoutOf(request));
  }

  private async readSubmission(
    request: IncomingMessage,
  ): Promise<z.infer<typeof submissionSchema>> {
    const body = await RequestBody.read(request, {
      replayBytes: LARGEST_JOB_BYTES,
      maxBytes: LARGEST_JOB_BYTES,
      timeoutMs: this.options.limits.bodyTimeoutMs,
    });
    const text = body.whole?.toString('utf8') ?? '';
    const parsed = submissionSchema.safeParse(parseJson(text));
    if (parsed.success) return parsed.data;
    const {path, message} = parsed.error.issues[0]!;
    throw new ResultError(
      ResultCodes.BAD_REQUEST,
      `Cannot accept job: ${path.join('.') || 'body'}: ${message}`,
    );
  }

  private ask(
    name: string,
    jobId: string,
    caller: AuthenticatedCaller,
    request: IncomingMessage,
  ): Promise<SchedulerAnswer> {
    if (!jobId.startsWith(caller.contract.customer + ID_SEPARATOR)) {
      const text = `Cannot find job "${jobId}"`;
      return Promise.reject(new ResultError(ResultCodes.NOT_FOUND, text));
    }
    return this.callScheduler(name, {jobId}, timeoutOf(request));
  }

  /** Asks one scheduler after the other until one has taken the request. */
  private async callScheduler(
    name: string,
    fields: object,
    timeoutMs: number,
  ): Promise<SchedulerAnswer> {
    const {network, schedulers} = this.options;
    const deadlineMs = performance.now() + timeoutMs;
    let lastError: unknown = new ResultError(
      ResultCodes.NO_OWNER,
      `Cannot complete "${name}": no scheduler is reachable`,
    );
    for (const member of schedulers) {
      const remainingMs = deadlineMs - performance.now();
      if (remainingMs <= 0) break;
      try {
        const answer = await network.request(
          {role: SCHEDULER_ROLE, member},
          name,
          {body: {...fields, remainingMs}, timeoutMs: remainingMs},
        );
        return answer as SchedulerAnswer;
      } catch (error) {
        lastError = error;
        if (!canAskNext(error)) throw asSubmission(name, error);
      }
    }
    throw lastError;
  }
}

/** Another scheduler may be asked only if this one certainly did nothing. */
function canAskNext(error: unknown): boolean {
  return (
    error instanceof ResultError &&
    (error.code === ResultCodes.NO_OWNER || error.code === ResultCodes.STOPPING)
  );
}

/** A lost answer to a submission leaves the acceptance in doubt. */
function asSubmission(name: string, error: unknown): unknown {
  const isDoubtful =
    name === 'submit' &&
    error instanceof ResultError &&
    error.code.outcome === Outcome.MAY_HAVE_RUN;
  if (!isDoubtful) return error;
  return new ResultError(
    ResultCodes.MAY_HAVE_BEEN_ACCEPTED,
    `Cannot tell whether the job was stored: ${error.message}`,
  );
}

/**
 * Id of a job. It begins with the customer, who alone may ask for the job, and
 * repeats of one key give the same id.
 */
function jobIdOf(customer: string, key: string | undefined): string {
  const rest =
    key === undefined
      ? randomUUID()
      : createHash('sha256').update(key).digest('hex').slice(0, 32);
  return customer + ID_SEPARATOR + rest;
}

function timeoutOf(request: IncomingMessage): number {
  const given = Number(request.headers['banyanmux-timeout-ms']);
  if (!Number.isFinite(given) || given <= 0) return DEFAULT_TIMEOUT_MS;
  return Math.min(given, LARGEST_TIMEOUT_MS);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function writeAnswer(
  response: ServerResponse,
  requestId: string,
  answer: SchedulerAnswer,
): void {
  const code = CODES_BY_NUMBER.get(answer.code) ?? ResultCodes.INTERNAL;
  const body = JSON.stringify({...answer, name: code.name});
  // The answer itself succeeded, also when it tells that the job failed.
  const status = code === ResultCodes.ACCEPTED ? code.httpStatus : 200;
  response.writeHead(status, {
    ...resultHeaders(code, requestId),
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  response.end(body);
}
