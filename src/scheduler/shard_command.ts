import {Job} from '../jobs/job.js';
import {PageCommand} from '../jobs/page_command.js';
import {PlatformEntry, WriteResult} from '../platform/platform_service.js';
import {ResultCode} from '../result_codes/result_code.js';
import {
  CommandContext,
  StartCommand,
  WorkerReport,
} from '../workers/worker_client.js';

/** Operation of a command; each worker has at most one command in flight. */
export type WorkerOperation =
  | {name: 'readBack'}
  | {name: 'start'; start: StartCommand}
  | {name: 'renew'; leaseUntilMs: number}
  | {name: 'checkpoint'; taskId: string}
  | {name: 'throttle'; taskId: string; throttle: number}
  | {name: 'stop'; taskId: string}
  | {name: 'forget'; taskIds: string[]};

/** Side effect that a {@link ShardController} requests from its driver. */
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
  /** The job is stored, or attached, and will run. */
  | {type: 'accepted'; jobId: string}
  /** The job is not stored and will not run. */
  | {type: 'refused'; jobId: string; code: ResultCode; reason: string}
  /** All tasks of the job have ended, and their results are stored. */
  | {type: 'jobEnded'; jobId: string}
  /** Another process owns the shard; the controller issues no more commands. */
  | {type: 'superseded'; reason: string}
  /** A scheduling decision, for the decision log. */
  | {
      type: 'decided';
      kind: 'place' | 'evict' | 'move' | 'drain';
      subject: string;
      chosen: string;
      reason: string;
      passedOver?: ReadonlyArray<{candidate: string; reason: string}>;
    };

/** Input of a {@link ShardController}. */
export type ShardEvent =
  | {type: 'tick'}
  /** Workers of a VM list that was read after the shard was acquired. */
  | {
      type: 'workersListed';
      workers: ReadonlyArray<{worker: string; isLeaving: boolean}>;
    }
  | {type: 'workerAnswered'; commandId: number; report: WorkerReport}
  /** No response; `wasSent` is false if the worker cannot have received it. */
  | {type: 'workerFailed'; commandId: number; wasSent: boolean}
  /** All pages of the shard; undefined if the read failed. */
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
  /** Result of a read sent after the request; undefined if it failed. */
  | {
      type: 'ownershipConfirmed';
      requestId: number;
      isOwner: boolean | undefined;
    }
  | {type: 'submitted'; job: Job}
  | {type: 'cancelled'; jobId: string};
