import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';

import {LogLine, parseLogLine} from './log_line.js';

/** A line of a log that matters for one job. */
export interface JobLogLine extends LogLine {
  /** Whether it names the job or one of its tasks; else it is context. */
  namesJob: boolean;
}

/** Lines of logs that matter for one job. */
export interface JobLogLines {
  /** Lines in the order of their time. */
  lines: JobLogLine[];
  /** Number of lines that should matter and could not be parsed. */
  unreadable: number;
}

/** Events that explain a wait although they do not name the job. */
const CONTEXT_EVENTS = [
  'lines-omitted',
  'load',
  'orchestrator-start',
  'term-ended',
  'worker-lost',
  'worker-regained',
  'worker-crashed',
  'worker-unregistered',
] as const;

const CONTEXT_PATTERN = new RegExp(`"msg":"(${CONTEXT_EVENTS.join('|')})"`);

/**
 * Reads the lines of logs that name a job, and those that explain its waits.
 * Only these are parsed, since the logs of a day are large.
 */
export async function readJobLogLines(
  files: readonly string[],
  jobId: string,
): Promise<JobLogLines> {
  const lines: JobLogLine[] = [];
  let unreadable = 0;
  for (const file of files) {
    const input = createReadStream(file);
    for await (const text of createInterface({input, crlfDelay: Infinity})) {
      const namesJob = text.includes(jobId);
      if (!namesJob && !CONTEXT_PATTERN.test(text)) continue;
      const line = parseLogLine(text);
      if (line) lines.push({...line, namesJob});
      else unreadable += 1;
    }
  }
  lines.sort((left, right) => left.timeMs - right.timeMs);
  return {lines, unreadable};
}
