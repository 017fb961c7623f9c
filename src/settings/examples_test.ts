import assert from 'node:assert/strict';
import {readdirSync} from 'node:fs';
import {test} from 'node:test';

import {z} from 'zod';

import {checkContract} from '../contracts/check_contract.js';
import {contractSchema} from '../contracts/contract.js';
import {entrySettingsSchema} from '../entry/entry_settings.js';
import {schedulerSettingsSchema} from '../scheduler/scheduler_settings.js';
import {ProcessSettings} from './process_settings.js';
import {readSettings} from './read_settings.js';

const FOLDER = 'examples';

const SCHEMAS: Readonly<Record<string, z.ZodType<ProcessSettings>>> = {
  entry: entrySettingsSchema,
  scheduler: schedulerSettingsSchema,
};

test('the example settings are valid and describe three data centres', () => {
  // Guards against examples that no longer match the schemas.
  const deployments = readdirSync(FOLDER);
  assert.deepEqual(deployments.sort(), ['association', 'kettridge']);
  for (const deployment of deployments) {
    const folder = `${FOLDER}/${deployment}`;
    checkContract(readSettings(`${folder}/contract.jsonc`, contractSchema));
    for (const [role, schema] of Object.entries(SCHEMAS)) {
      const settings = readSettings(`${folder}/${role}.jsonc`, schema);
      const {members, member} = settings;
      const dataCentres = new Set(members.map((m) => m.dataCentre));
      assert.equal(dataCentres.size, 3);
      assert.ok(members.some((m) => m.member === member));
    }
  }
});
