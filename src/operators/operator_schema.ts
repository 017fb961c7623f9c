import {z} from 'zod';

/** Roles of operators; `change` includes `read`. */
export const OperatorRole = {
  READ: 'read',
  CHANGE: 'change',
} as const;

/** One of the values of {@link OperatorRole}. */
export type OperatorRole = (typeof OperatorRole)[keyof typeof OperatorRole];

/** An operator in the settings of an entry. */
export const operatorSchema = z.strictObject({
  /** Name recorded in the history of changes. */
  name: z.string().min(1).max(100),
  role: z.enum(OperatorRole),
  /** SHA-256 of the operator's token in lower-case hex. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/, {
    message: 'allowed: SHA-256 of the token as 64 hex digits',
  }),
});

/** A validated operator. */
export type Operator = z.infer<typeof operatorSchema>;
