import {randomUUID} from 'node:crypto';
import {IncomingMessage} from 'node:http';

import {App, Request, Response} from '@tinyhttp/app';
import {z} from 'zod';

import {Clock} from '../clock/clock.js';
import {
  AuthenticatedCaller,
  ConfigurationView,
} from '../contracts/configuration_view.js';
import {URGENCIES} from '../contracts/urgency.js';
import {jobSchema} from '../jobs/job.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {authenticate, readIdempotencyKey, readTimeout} from './request_head.js';
import {EntryLimits} from './entry_settings.js';
import {JobClient} from './job_client.js';
import {JobSubmission} from './job_submission.js';
import {RequestBody} from './request_body.js';
import {resultHeaders, writeResult} from './result_headers.js';
import {toResultError} from './to_result_error.js';

/** Options of {@link JobRoutes}. */
export interface JobRoutesOptions {
  configuration: ConfigurationView;
  client: JobClient;
  submission: JobSubmission;
  clock: Clock;
  limits: EntryLimits;
  /**
   * Returns why requests are refused now, or undefined if they are accepted.
   */
  refusal: () => {code: ResultCode; text: string} | undefined;
}

type Handler = (
  message: Request,
  caller: AuthenticatedCaller,
) => Promise<unknown>;

/** Maximum size of a job in bytes; a page of jobs must hold several of them. */
const MAX_JOB_BYTES = 16_384;

const fieldsSchema = jobSchema
  .omit({id: true, customer: true, caller: true})
  .strict();

const answerSchema = z.looseObject({code: z.int()});

const CODES_BY_NUMBER = new Map<number, ResultCode>(
  Object.values(ResultCodes).map((code) => [code.number, code]),
);

/** Handles `/v1/jobs`. */
export class JobRoutes {
  constructor(private readonly options: JobRoutesOptions) {}

  /** Adds the routes to the HTTP server. */
  mount(app: App<Request, Response>): void {
    app.post('/v1/jobs', (request, response) =>
      this.serve(request, response, (message, caller) =>
        this.submit(message, caller),
      ),
    );
    app.get('/v1/jobs/:id', (request, response) =>
      this.serve(request, response, (message, caller) =>
        this.requestJob('jobStatus', message, caller),
      ),
    );
    app.delete('/v1/jobs/:id', (request, response) =>
      this.serve(request, response, (message, caller) =>
        this.requestJob('cancel', message, caller),
      ),
    );
  }

  private async serve(
    request: Request,
    response: Response,
    handler: Handler,
  ): Promise<void> {
    const requestId = randomUUID();
    try {
      const refusal = this.options.refusal();
      if (refusal) throw new ResultError(refusal.code, refusal.text);
      const caller = authenticate(request, this.options.configuration);
      const answer = answerSchema.parse(await handler(request, caller));
      const code = CODES_BY_NUMBER.get(answer.code) ?? ResultCodes.INTERNAL;
      // The HTTP request succeeded even if the reported job failed.
      const status = code === ResultCodes.ACCEPTED ? code.httpStatus : 200;
      response.writeHead(status, {
        ...resultHeaders(code, requestId),
        'content-type': 'application/json',
      });
      response.end(JSON.stringify({...answer, name: code.name}));
    } catch (error) {
      const {code, message: text, retryAfterMs} = toResultError(error);
      writeResult(response, requestId, {code, text, retryAfterMs});
    }
  }

  private async submit(
    message: Request,
    caller: AuthenticatedCaller,
  ): Promise<unknown> {
    const {clock, submission} = this.options;
    const arrivedMs = clock.nowMs();
    const fields = await this.readFields(message);
    const timeoutMs = this.timeoutMs(message, caller, fields.urgency);
    return submission.submit({
      customer: caller.contract.customer,
      caller: caller.caller,
      fields,
      key: readIdempotencyKey(message),
      deadlineMs: arrivedMs + timeoutMs,
    });
  }

  private requestJob(
    name: 'jobStatus' | 'cancel',
    message: Request,
    caller: AuthenticatedCaller,
  ): Promise<unknown> {
    const jobId = message.params['id'] ?? '';
    if (!jobId.startsWith(`${caller.contract.customer}.`)) {
      const text = `Cannot find job "${jobId}" among the jobs of this customer`;
      return Promise.reject(new ResultError(ResultCodes.NOT_FOUND, text));
    }
    const remainingMs = this.timeoutMs(message, caller, 'standard');
    return this.options.client.request(name, {jobId, remainingMs});
  }

  private timeoutMs(
    message: IncomingMessage,
    caller: AuthenticatedCaller,
    urgency: string,
  ): number {
    const knownUrgency =
      URGENCIES.find((candidate) => candidate === urgency) ?? 'standard';
    return readTimeout(message, {
      defaultMs: caller.contract.urgencies[knownUrgency].timeoutMs,
      longestMs: this.options.limits.timeoutMs,
    });
  }

  private async readFields(
    message: IncomingMessage,
  ): Promise<z.infer<typeof fieldsSchema>> {
    const maxBytes = Math.min(MAX_JOB_BYTES, this.options.limits.bodyBytes);
    const body = await RequestBody.read(message, {
      replayBytes: maxBytes,
      maxBytes,
      timeoutMs: this.options.limits.bodyTimeoutMs,
    });
    let value: unknown;
    try {
      value = JSON.parse(body.buffered?.toString('utf8') ?? '');
    } catch (error) {
      throw invalidJob((error as Error).message);
    }
    const fields = fieldsSchema.safeParse(value);
    if (fields.success) return fields.data;
    const issue = fields.error.issues[0]!;
    throw invalidJob(`${issue.path.join('.') || 'job'}: ${issue.message}`);
  }
}

function invalidJob(reason: string): ResultError {
  return new ResultError(ResultCodes.BAD_REQUEST, `Cannot read job: ${reason}`);
}
