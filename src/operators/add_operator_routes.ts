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

type RouteHandler = (call: OperatorCall) => Promise<object> | object;

/** Adds the operators' routes to the HTTP interface of an entry. */
export function addOperatorRoutes(
  app: App<Request, Response>,
  options: OperatorRoutesOptions,
): void {
  const handlers = new OperatorHandlers(options);
  const {access} = options;
  const addReadRoute = (path: string, handler: RouteHandler): unknown =>
    app.get(path, (request, response) =>
      respond(request, response, () => {
        access.requireRole(request.headers.authorization, OperatorRole.READ);
        return handler(toOperatorCall(request));
      }),
    );
  const addChangeRoute = (
    method: 'put' | 'delete',
    path: string,
    handler: RouteHandler,
  ): unknown =>
    app[method](path, (request, response) =>
      respond(request, response, async () => {
        const {authorization} = request.headers;
        const operator = access.requireRole(authorization, OperatorRole.CHANGE);
        const call = toOperatorCall(request);
        call.operator = operator.name;
        if (method === 'put') call.body = await readJsonBody(request);
        return handler(call);
      }),
    );
  addReadRoute('/v1/contracts', () => handlers.listContracts());
  addReadRoute('/v1/contracts/:name', (call) => handlers.showContract(call));
  addChangeRoute('put', '/v1/contracts/:name', (call) =>
    handlers.putContract(call),
  );
  addChangeRoute('delete', '/v1/contracts/:name', (call) =>
    handlers.deleteContract(call),
  );
  addReadRoute('/v1/stops', () => handlers.listStops());
  addChangeRoute('put', '/v1/stops/:name', (call) => handlers.planStop(call));
  addChangeRoute('delete', '/v1/stops/:name', (call) =>
    handlers.cancelStop(call),
  );
  addReadRoute('/v1/status', () => handlers.status());
  addReadRoute('/v1/why/:name', (call) => handlers.why(call));
}

/** Parses the URL itself, because the app may lack tinyhttp's extensions. */
function toOperatorCall(message: IncomingMessage): OperatorCall {
  const {originalUrl} = message as {originalUrl?: string};
  const url = new URL(originalUrl ?? message.url ?? '/', 'http://entry');
  const name = decodeURIComponent(url.pathname.split('/')[3] ?? '');
  return {name, query: url.searchParams, headers: message.headers};
}

async function respond(
  message: IncomingMessage,
  response: ServerResponse,
  handler: () => Promise<object> | object,
): Promise<void> {
  const requestId = randomUUID();
  try {
    const fields = await handler();
    writeResponse(response, ResultCodes.OK, {requestId, ...fields});
  } catch (error) {
    const isResultError = error instanceof ResultError;
    const code = isResultError ? error.code : ResultCodes.INTERNAL;
    const info = VError.info(error as Error);
    const errorMessage = (error as Error).message;
    writeResponse(response, code, {requestId, message: errorMessage, ...info});
  } finally {
    message.resume();
  }
}

function writeResponse(
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
