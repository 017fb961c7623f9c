import {z} from 'zod';

/** What an operator may do. */
export const OperatorRole = {
  READ: 'read',
  CHANGE: 'change',
} as const;

/** One of the values of {@link OperatorRole}. */
export type OperatorRole = (typeof OperatorRole)[keyof typeof OperatorRole];

/** An operator as settings name it; belongs into the settings of entries. */
export const operatorSchema = z.strictObject({
  /** Name that the history of changes shows. */
  name: z.string().min(1).max(100),
  role: z.enum(OperatorRole),
  /** SHA-256 of the operator's token in lower-case hex. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/, {
    message: 'allowed: SHA-256 of the token as 64 hex digits',
  }),
});

/** A checked operator. */
export type Operator = z.infer<typeof operatorSchema>;
