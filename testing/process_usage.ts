import {readdirSync, readFileSync} from 'node:fs';

/** Resources that a process uses, as the operating system counts them. */
export interface ProcessUsage {
  /** Largest resident memory in MB since the process started. */
  peakMemoryMb: number;
  descriptors: number;
}

const KB_PER_MB = 1024;

/**
 * Reads what a process uses.
 *
 * @returns Undefined if the process does not exist.
 */
export function readProcessUsage(pid: number): ProcessUsage | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
    const descriptors = readdirSync(`/proc/${pid}/fd`).length;
    return {peakMemoryMb: peakKb / KB_PER_MB, descriptors};
  } catch {
    return undefined;
  }
}
