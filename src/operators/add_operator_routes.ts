import {randomUUID} from 'node:crypto';
import {IncomingMessage, ServerResponse} from 'node:http';

import {App, Request, Response} from '@tinyhttp/app';
import VError from 'verror';

import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {OperatorRole} from './operator_schema.js';
import {
  OperatorCall,
  OperatorHandlers,
  OperatorHandlersOptions,
} from './operator_handlers.js';
import {OperatorAccess} from './operator_access.js';
import {readJsonBody} from './read_json_body.js';

/** Options of {@link addOperatorRoutes}. */
export interface OperatorRoutesOptions extends OperatorHandlersOptions {
  access: OperatorAccess;
}

type Handle = (call: OperatorCall) => Promise<object> | object;

/** Adds the operators' routes to the HTTP interface of an entry. */
export function addOperatorRoutes(
  app: App<Request, Response>,
  options: OperatorRoutesOptions,
): void {
  const handlers = new OperatorHandlers(options);
  const {access} = options;
  const read = (path: string, handle: Handle): unknown =>
    app.get(path, (request, response) =>
      answer(request, response, () => {
        access.require(request.headers.authorization, OperatorRole.READ);
        return handle(callOf(request));
      }),
    );
  const change = (
    method: 'put' | 'delete',
    path: string,
    handle: Handle,
  ): unknown =>
    app[method](path, (request, response) =>
      answer(request, response, async () => {
        const {authorization} = request.headers;
        const operator = access.require(authorization, OperatorRole.CHANGE);
        const call = callOf(request);
        call.operator = operator.name;
        if (method === 'put') call.body = await readJsonBody(request);
        return handle(call);
      }),
    );
  read('/v1/contracts', () => handlers.listContracts());
  read('/v1/contracts/:name', (call) => handlers.showContract(call));
  change('put', '/v1/contracts/:name', (call) => handlers.putContract(call));
  change('delete', '/v1/contracts/:name', (call) =>
    handlers.deleteContract(call),
  );
  read('/v1/stops', () => handlers.listStops());
  change('put', '/v1/stops/:name', (call) => handlers.planStop(call));
  change('delete', '/v1/stops/:name', (call) => handlers.cancelStop(call));
  read('/v1/status', () => handlers.status());
  read('/v1/why/:name', (call) => handlers.why(call));
}

/** Reads the URL itself, because the app may run without extensions. */
function callOf(message: IncomingMessage): OperatorCall {
  const {originalUrl} = message as {originalUrl?: string};
  const url = new URL(originalUrl ?? message.url ?? '/', 'http://entry');
  const name = decodeURIComponent(url.pathname.split('/')[3] ?? '');
  return {name, query: url.searchParams, headers: message.headers};
}

async function answer(
  message: IncomingMessage,
  response: ServerResponse,
  handle: () => Promise<object> | object,
): Promise<void> {
  const requestId = randomUUID();
  try {
    const fields = await handle();
    write(response, ResultCodes.OK, {requestId, ...fields});
  } catch (error) {
    const isKnown = error instanceof ResultError;
    const code = isKnown ? error.code : ResultCodes.INTERNAL;
    const info = VError.info(error as Error);
    const text = (error as Error).message;
    write(response, code, {requestId, message: text, ...info});
  } finally {
    message.resume();
  }
}

function write(
  response: ServerResponse,
  code: ResultCode,
  fields: object,
): void {
  const {number, name, outcome, meaning, httpStatus} = code;
  const body = {code: number, name, outcome, meaning, ...fields};
  response.writeHead(httpStatus, {
    'content-type': 'application/json',
    'banyanmux-code': String(number),
    'banyanmux-outcome': outcome,
    'banyanmux-request-id': (fields as {requestId: string}).requestId,
  });
  response.end(JSON.stringify(body));
}
