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
