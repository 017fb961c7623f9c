/** Components that identify a task within a partition. */
export interface TaskName {
  jobId: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Formats the name of a task, for example "5c0e7a21d94b36f8.0.1.17". */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

const TASK_NAME_PATTERN = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/;

/** Parses the name of a task; undefined if it does not have the format. */
export function parseTaskName(text: string): TaskName | undefined {
  const match = TASK_NAME_PATTERN.exec(text);
  if (!match) return undefined;
  return {
    jobId: match[1]!,
    occurrence: Number(match[2]),
    step: Number(match[3]),
    index: Number(match[4]),
  };
}
