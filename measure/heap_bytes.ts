import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the bytes of live objects and buffers after a full collection. */
export function heapBytes(): number {
  collectGarbage();
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}
