import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes of live objects and buffers after a full garbage collection. */
export function heapBytes(): number {
  collectGarbage();
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
