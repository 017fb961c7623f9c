import assert from 'node:assert/strict';
import {test} from 'node:test';

import {EntryBench} from '../../testing/entry_bench.js';

test('P4: each of many concurrent callers gets its own whole answer', async () => {
  // Guards against answers that are mixed up or cut short under load.
  const bench = await EntryBench.start({targets: 3});
  try {
    const results = await Promise.all(
      Array.from({length: 300}, (_, index) =>
        bench.entry.caller.call({
          body: `body ${index}`.repeat(1 + (index % 50) * 100),
          answerBytes: (index % 7) * 40_000,
          workMs: index % 5,
        }),
      ),
    );
    assert.deepEqual(
      [...new Set(results.map(({outcome}) => outcome))],
      ['ran'],
    );
    assert.ok(results.every(({isRight, code}) => isRight && code === 1000));
    assert.equal(bench.violations(), 0);
  } finally {
    await bench.stop();
  }
});
