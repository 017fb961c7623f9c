import {Agent, request} from 'undici';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {
  CommandContext,
  StartCommand,
  WorkerClient,
  WorkerReport,
} from './worker_client.js';

/** Options of {@link HttpWorkerClient}. */
export interface HttpWorkerClientOptions {
  /** Base address of the worker, for example `http://10.0.1.7:7000`. */
  origin: string;
  /** Connection pool, which several clients may share. @default a new agent */
  agent?: Agent;
  /** Time limit in ms for a response. @default 1500 */
  timeoutMs?: number;
}

/** Connection errors after which the request certainly was not sent. */
const NOT_SENT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Sends the commands as JSON over HTTP. Fails with NO_TARGET if the command was
 * not sent and with ANSWER_LOST if it may have taken effect.
 */
export class HttpWorkerClient implements WorkerClient {
  private readonly agent: Agent;
  private readonly timeoutMs: number;

  constructor(private readonly options: HttpWorkerClientOptions) {
    this.timeoutMs = options.timeoutMs ?? 1500;
    this.agent = options.agent ?? new Agent({connections: 2, pipelining: 1});
  }

  readBack(context: CommandContext): Promise<WorkerReport> {
    return this.sendCommand('read-back', context);
  }

  start(context: CommandContext, command: StartCommand): Promise<WorkerReport> {
    return this.sendCommand('start', context, {...command});
  }

  renew(context: CommandContext, leaseUntilMs: number): Promise<WorkerReport> {
    return this.sendCommand('renew', context, {leaseUntilMs});
  }

  checkpoint(context: CommandContext, taskId: string): Promise<WorkerReport> {
    return this.sendCommand('checkpoint', context, {taskId});
  }

  throttle(
    context: CommandContext,
    command: {taskId: string; throttle: number},
  ): Promise<WorkerReport> {
    return this.sendCommand('throttle', context, command);
  }

  stop(context: CommandContext, taskId: string): Promise<WorkerReport> {
    return this.sendCommand('stop', context, {taskId});
  }

  forget(context: CommandContext, taskIds: string[]): Promise<WorkerReport> {
    return this.sendCommand('forget', context, {taskIds});
  }

  private async sendCommand(
    name: string,
    context: CommandContext,
    fields: object = {},
  ): Promise<WorkerReport> {
    try {
      const response = await request(`${this.options.origin}/tasks/${name}`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: {'content-type': 'application/json'},
        body: JSON.stringify({...context, ...fields}),
        headersTimeout: this.timeoutMs,
        bodyTimeout: this.timeoutMs,
      });
      const body: unknown = await response.body.json();
      if (response.statusCode !== 200) {
        throw new Error(`unexpected HTTP status ${response.statusCode}`);
      }
      return body as WorkerReport;
    } catch (error) {
      throw this.toResultError(name, error as NodeJS.ErrnoException);
    }
  }

  private toResultError(
    name: string,
    error: NodeJS.ErrnoException,
  ): ResultError {
    const wasNotSent = NOT_SENT_ERRORS.has(error.code ?? '');
    return new ResultError(
      wasNotSent ? ResultCodes.NO_TARGET : ResultCodes.ANSWER_LOST,
      `Cannot complete "${name}" on worker ${this.options.origin}: ${error.message}`,
      {cause: error},
    );
  }
}
