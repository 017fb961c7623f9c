import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';

/** Converts any error into a result error that can be sent to a caller. */
export function toResultError(error: unknown): ResultError {
  if (error instanceof ResultError) return error;
  return new ResultError(
    ResultCodes.INTERNAL,
    `Cannot complete request: ${(error as Error).message}`,
  );
}
