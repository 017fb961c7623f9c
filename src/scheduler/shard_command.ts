import {Job} from '../jobs/job.js';
import {PageCommand} from '../jobs/page_command.js';
import {PlatformEntry, WriteResult} from '../platform/platform_service.js';
import {ResultCode} from '../result_codes/result_code.js';
import {
  CommandContext,
  StartCommand,
  WorkerReport,
} from '../workers/worker_client.js';

/** What a worker is told; one command a worker is outstanding at a time. */
export type WorkerOperation =
  | {name: 'readBack'}
  | {name: 'start'; start: StartCommand}
  | {name: 'renew'; leaseUntilMs: number}
  | {name: 'checkpoint'; taskId: string}
  | {name: 'throttle'; taskId: string; throttle: number}
  | {name: 'stop'; taskId: string}
  | {name: 'forget'; taskIds: string[]};

/** What a shard asks its surroundings to do. */
export type ShardCommand =
  | {
      type: 'command';
      commandId: number;
      worker: string;
      context: CommandContext;
      operation: WorkerOperation;
    }
  | {type: 'confirmOwnership'; requestId: number}
  | PageCommand
  /** The job is stored and will run. */
  | {type: 'accepted'; jobId: string}
  /** The job is not stored and will not run. */
  | {type: 'refused'; jobId: string; code: ResultCode; reason: string}
  /** All tasks of the job have ended, and that is stored. */
  | {type: 'jobEnded'; jobId: string}
  | {type: 'superseded'; reason: string}
  | {
      type: 'decided';
      kind: 'place' | 'evict' | 'move' | 'drain';
      subject: string;
      chosen: string;
      reason: string;
      passedOver?: ReadonlyArray<{candidate: string; reason: string}>;
    };

/** What happens to a shard. */
export type ShardEvent =
  | {type: 'tick'}
  /** VM list, read after the ownership was gained. */
  | {
      type: 'workersListed';
      workers: ReadonlyArray<{worker: string; isLeaving: boolean}>;
    }
  | {type: 'workerAnswered'; commandId: number; report: WorkerReport}
  /** No answer came; `wasSent` is false if the worker can't have received it. */
  | {type: 'workerFailed'; commandId: number; wasSent: boolean}
  | {type: 'pagesListed'; entries: PlatformEntry[] | undefined}
  | {type: 'pageWritten'; key: string; writeId: number; result: WriteResult}
  | {type: 'pageWriteFailed'; key: string; writeId: number; wasSent: boolean}
  | {
      type: 'pageRead';
      key: string;
      writeId: number;
      entry: PlatformEntry | undefined;
    }
  | {type: 'pageReadFailed'; key: string; writeId: number}
  /** Result of a platform read sent after the request; undefined: failed. */
  | {
      type: 'ownershipConfirmed';
      requestId: number;
      isOwner: boolean | undefined;
    }
  | {type: 'submitted'; job: Job}
  | {type: 'cancelled'; jobId: string};
