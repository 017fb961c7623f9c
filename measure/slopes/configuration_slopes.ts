import {createHash} from 'node:crypto';

import {ManualClock} from '../../src/clock/manual_clock.js';
import {contractKey} from '../../src/contracts/configuration_key.js';
import {ConfigurationStore} from '../../src/contracts/configuration_store.js';
import {heapBytes} from '../heap_bytes.js';
import {measureEventMicroseconds} from './measure_event_microseconds.js';
import {SlopeCase, SlopePoint} from './slope_case.js';

const CALLERS_PER_CONTRACT = 20;

function createContractValue(index: number): string {
  const value = {
    customer: `team-${index}`,
    services: ['portal'],
    callers: Array.from({length: CALLERS_PER_CONTRACT}, (_, caller) => ({
      name: `caller-${caller}`,
      keyHash: createHash('sha256').update(`${index}/${caller}`).digest('hex'),
    })),
  };
  const change = {
    id: `change-${index}`,
    operator: 'operator',
    atWallMs: 1,
    action: 'create',
  };
  return JSON.stringify({value, change});
}

function measureContracts(contracts: number): SlopePoint {
  const clock = new ManualClock();
  const before = heapBytes();
  const store = new ConfigurationStore({clock});
  let revision = 0;
  const applyContract = (index: number): void => {
    revision += 1;
    const key = contractKey(`team-${index}`);
    store.applyChange({key, value: createContractValue(index), revision});
  };
  for (let index = 0; index < contracts; index++) applyContract(index);
  const bytes = heapBytes() - before;
  if (!store.contract('team-0')) throw new Error('Cannot store contracts');
  const values = Array.from({length: 16}, (_, index) =>
    createContractValue(index),
  );
  const microseconds = measureEventMicroseconds(() => {
    revision += 1;
    const index = revision % Math.min(16, contracts);
    const key = contractKey(`team-${index}`);
    store.applyChange({key, value: values[index]!, revision});
  });
  return {bytes, microseconds};
}

/** Costs of the configuration that each process holds. */
export const CONFIGURATION_SLOPES: readonly SlopeCase[] = [
  {
    name: `process: contracts with ${CALLERS_PER_CONTRACT} callers, one change applied`,
    per: 'contract',
    bytesAre: 'memory',
    sizes: [35, 70, 140, 280, 560],
    run: measureContracts,
  },
];
