import {
  PlatformChange,
  PlatformEntry,
  PlatformService,
  PlatformWrite,
  VmEntry,
  WriteResult,
} from '../src/platform/platform_service.js';
import {ResultCodes} from '../src/result_codes/result_code.js';
import {ResultError} from '../src/result_codes/result_error.js';
import {SimulatedPlatform} from './simulated_platform.js';

/** In-memory {@link PlatformService} whose writes can be carried out late. */
export class MemoryPlatform implements PlatformService {
  /** Number of next writes that get no answer and are carried out late. */
  lateWrites = 0;
  private readonly platform = new SimulatedPlatform();
  private readonly delayed: PlatformWrite[] = [];

  read(key: string): Promise<PlatformEntry | undefined> {
    return Promise.resolve(this.platform.read(key));
  }

  list(prefix: string): Promise<{entries: PlatformEntry[]; revision: number}> {
    return Promise.resolve({entries: this.platform.list(prefix), revision: 0});
  }

  write(write: PlatformWrite): Promise<WriteResult> {
    if (this.lateWrites === 0) return Promise.resolve(this.apply(write));
    this.lateWrites -= 1;
    this.delayed.push(write);
    return Promise.reject(
      new ResultError(
        ResultCodes.CHANGE_IN_DOUBT,
        'Cannot tell whether the write was carried out: no response',
      ),
    );
  }

  delete(key: string, expectedRevision: number): Promise<WriteResult> {
    return Promise.resolve(
      this.platform.write(key, undefined, expectedRevision),
    );
  }

  watch(): Promise<{changes: PlatformChange[]; revision: number}> {
    return Promise.resolve({changes: [], revision: 0});
  }

  listVms(): Promise<readonly VmEntry[]> {
    return Promise.resolve([]);
  }

  /** Carries out the writes that got no answer, if their condition holds. */
  applyLateWrites(): WriteResult[] {
    return this.delayed.splice(0).map((write) => this.apply(write));
  }

  private apply({key, value, expectedRevision}: PlatformWrite): WriteResult {
    return this.platform.write(key, value, expectedRevision);
  }
}
