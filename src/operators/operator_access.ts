import {createHash, timingSafeEqual} from 'node:crypto';

import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {Operator, OperatorRole} from './operator_schema.js';

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Authenticates operators by their tokens and checks their roles. */
export class OperatorAccess {
  private readonly operatorsByHash: ReadonlyMap<string, Operator>;

  constructor(operators: readonly Operator[]) {
    this.operatorsByHash = new Map(
      operators.map((operator) => [operator.tokenHash, operator]),
    );
  }

  /** Returns the operator of the bearer token in the header, if any. */
  findOperator(authorization: string | undefined): Operator | undefined {
    const token = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (!token) return undefined;
    const digest = createHash('sha256').update(token).digest();
    const operator = this.operatorsByHash.get(digest.toString('hex'));
    if (!operator) return undefined;
    const stored = Buffer.from(operator.tokenHash, 'hex');
    return timingSafeEqual(stored, digest) ? operator : undefined;
  }

  /**
   * Returns the operator if it has the role; `change` includes `read`.
   *
   * @throws ResultError UNAUTHENTICATED if the token is missing or unknown;
   *     FORBIDDEN if the operator does not have the role.
   */
  requireRole(authorization: string | undefined, role: OperatorRole): Operator {
    const operator = this.findOperator(authorization);
    if (!operator) {
      throw new ResultError(
        ResultCodes.UNAUTHENTICATED,
        'Cannot authenticate operator: the token is missing or unknown',
      );
    }
    if (role === OperatorRole.CHANGE && operator.role !== role) {
      throw new ResultError(
        ResultCodes.FORBIDDEN,
        `Cannot authorize operator "${operator.name}": has role "${operator.role}", requires "${role}"`,
      );
    }
    return operator;
  }
}
