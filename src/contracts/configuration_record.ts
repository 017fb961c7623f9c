import {z} from 'zod';

import {contractSchema} from './contract.js';
import {plannedStopSchema} from './planned_stop.js';

/** Kinds of operators' changes. */
export const ChangeAction = {
  CREATE: 'create',
  AMEND: 'amend',
  DELETE: 'delete',
} as const;

/** One of the values of {@link ChangeAction}. */
export type ChangeAction = (typeof ChangeAction)[keyof typeof ChangeAction];

const fieldChangeSchema = z.object({
  /** Path of the field, for example "urgencies.batch.floor". */
  key: z.string(),
  /** Previous value as truncated JSON; undefined if there was none. */
  from: z.string().optional(),
  /** New value as truncated JSON; undefined if it was removed. */
  to: z.string().optional(),
});

const changeSchema = z.object({
  /** Unique ID of the change; shows which write took effect. */
  id: z.string(),
  /** Name of the operator. */
  operator: z.string(),
  /** Wall-clock time in ms at the entry that wrote the change. */
  atWallMs: z.number(),
  action: z.enum(ChangeAction),
  reason: z.string().default(''),
  fields: z.array(fieldChangeSchema).default([]),
});

const pastChangeSchema = changeSchema.extend({
  /** Platform revision of the change. */
  revision: z.number(),
});

/** Change of one field of a contract or planned stop. */
export type FieldChange = z.infer<typeof fieldChangeSchema>;

/** Who changed what, when and why. */
export type ConfigurationChange = z.infer<typeof changeSchema>;

/** An earlier change of a record, with its revision. */
export type PastChange = z.infer<typeof pastChangeSchema>;

const changeFields = {
  change: changeSchema,
  /** Earlier changes, newest first. */
  history: z.array(pastChangeSchema).default([]),
};

/** Value of a contract's key; a deleted contract keeps its history. */
export const contractRecordSchema = z.object({
  value: contractSchema.nullable(),
  /** Contract that a deletion ended. */
  ended: contractSchema.optional(),
  ...changeFields,
});

/** Value of a planned stop's key; a cancelled stop keeps its history. */
export const stopRecordSchema = z.object({
  value: plannedStopSchema.nullable(),
  ...changeFields,
});

/** Value of a configuration key as the platform stores it. */
export interface ConfigurationRecord<T> {
  /** The contract or planned stop; null after a deletion. */
  value: T | null;
  /** The contract that a deletion ended. @default none */
  ended?: T;
  change: ConfigurationChange;
  history: PastChange[];
}
