import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {TargetResult, TargetResultKind} from '../targets/target_client.js';
import {CallerResult} from './result_headers.js';

/**
 * Returns the result for a caller after an attempt without a complete
 * response.
 *
 * @param mayHaveRun - True if this or an earlier attempt may have run.
 */
export function resultOfAttempt(
  result: TargetResult,
  mayHaveRun: boolean,
): CallerResult {
  const reason = 'reason' in result ? result.reason : 'no complete response';
  return {
    code: codeOf(result, mayHaveRun),
    text: `Cannot complete request: ${reason}`,
  };
}

function codeOf(result: TargetResult, mayHaveRun: boolean): ResultCode {
  if (result.kind === TargetResultKind.LOST) {
    return result.isTimeout ? ResultCodes.TIMED_OUT : ResultCodes.ANSWER_LOST;
  }
  if (mayHaveRun) return ResultCodes.ANSWER_LOST;
  if (result.kind === TargetResultKind.NOT_SENT) return ResultCodes.NO_TARGET;
  const isEpoch = 'reason' in result && result.reason === 'epoch';
  return isEpoch ? ResultCodes.FENCED : ResultCodes.TARGET_REFUSED;
}
