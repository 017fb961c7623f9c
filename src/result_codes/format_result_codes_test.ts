import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';

import {formatResultCodes} from './format_result_codes.js';
import {ResultCodes} from './result_code.js';

test('docs/result_codes.md lists all result codes', () => {
  // Guards against documentation that differs from the code, and against two
  // codes with the same number or name. After a change, replace the table with
  // the output of formatResultCodes().
  const page = readFileSync('docs/result_codes.md', 'utf8');
  assert.ok(page.includes(`\n${formatResultCodes()}`));
  const codes = Object.values(ResultCodes);
  assert.equal(new Set(codes.map(({number}) => number)).size, codes.length);
  for (const [key, {name}] of Object.entries(ResultCodes)) {
    assert.equal(name, key);
  }
});
