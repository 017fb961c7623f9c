import {TaskFailure, TaskResult} from '../jobs/job_record.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {ShardJob} from './shard_task.js';

/** Response to `submit`, `jobStatus` and `cancel`. */
export interface JobStatus {
  jobId: string;
  /** Shard on whose workers the job runs. */
  shard: string;
  /**
   * 'running' while any task is assigned to a worker; 'ended' once all tasks
   * have ended.
   */
  state: 'accepted' | 'running' | 'ended';
  /** Number of the result code. */
  code: number;
  tasks: Array<{
    taskId: string;
    state: string;
    worker?: string;
    progress: number;
    result?: TaskResult;
    failures?: TaskFailure[];
  }>;
}

/** Returns the status of a job as customers see it. */
export function describeJob(job: ShardJob, shard: string): JobStatus {
  const hasEnded = job.tasks.every(({state}) => state === 'ended');
  const isRunning = job.tasks.some(({assignment}) => assignment !== undefined);
  return {
    jobId: job.job.id,
    shard,
    state: hasEnded ? 'ended' : isRunning ? 'running' : 'accepted',
    code: resultCodeOf(job, hasEnded).number,
    tasks: job.tasks.map(({taskId, state, assignment, progress, record}) => ({
      taskId,
      state,
      worker: assignment?.worker,
      progress,
      result: record.result,
      failures: record.failures,
    })),
  };
}

function resultCodeOf(job: ShardJob, hasEnded: boolean): ResultCode {
  if (!hasEnded) return ResultCodes.ACCEPTED;
  const results = job.tasks.map(({record}) => record.result);
  if (results.includes(TaskResult.FAILED)) return ResultCodes.FAILED;
  if (results.every((one) => one === TaskResult.CANCELLED_BEFORE_START)) {
    return ResultCodes.CANCELLED_BEFORE_START;
  }
  const isCancelled = results.some((one) => one !== TaskResult.FINISHED);
  return isCancelled ? ResultCodes.CANCELLED : ResultCodes.OK;
}
