import {LogLine} from './log_line.js';
import {JobLogLine} from './read_log_lines.js';

/** Part of the life of a job. */
export interface LifeEntry {
  /** Unix time in ms. */
  timeMs: number;
  /** Node that wrote the line; empty for a wait. */
  node: string;
  /** Name of the event, or a {@link LifeGap}. */
  event: string;
  /** Fields of the line, or the causes of a wait. */
  text: string;
}

/** Times between two lines about a job. */
export const LifeGap = {
  /** No run of the job is known to be active. */
  WAIT: 'WAIT',
  /** A run is or may be active. */
  RUN: 'RUN',
  /** Lines were left out, so that what happened is not known. */
  EVIDENCE_MISSING: 'EVIDENCE MISSING',
} as const;

/** Time in ms between two lines from which the gap is explained. */
const MIN_GAP_MS = 500;

/**
 * Time in ms by which a line about omitted lines may follow them: it is written
 * with the first line of a later second.
 */
const OMISSION_DELAY_MS = 2000;

/** Time in ms without a load line, which an owner writes each second. */
const NO_OWNER_MS = 2500;

const MS_PER_SECOND = 1000;

/** Fields that each line has, or that the entry shows by itself. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'program',
  'node',
  'msg',
  'job',
]);

/** Events after which a run is no longer active. */
const RUN_ENDS: ReadonlySet<string> = new Set(['run-done', 'run-ended']);

/**
 * Returns the life of a job: the lines that name it in order, and between them
 * the waits with their causes and the places where evidence is missing.
 */
export function describeJobLife(
  lines: readonly JobLogLine[],
  jobId: string,
): LifeEntry[] {
  const life: LifeEntry[] = [];
  const openRuns = new OpenRuns();
  let previous: LogLine | undefined;
  let hasEnded = false;
  for (const line of lines) {
    if (!line.namesJob && !openRuns.isWorkerEvent(line)) continue;
    if (previous && !hasEnded) {
      life.push(...describeGap(previous, line, lines, openRuns));
    }
    openRuns.apply(line, jobId);
    life.push(toEntry(line));
    previous = line;
    hasEnded ||= line.event === 'job-ended';
  }
  const last = lines.at(-1);
  if (previous && last && !hasEnded) {
    life.push(...describeGap(previous, last, lines, openRuns));
  }
  return life;
}

/** Runs of a job that are or may be active, with their workers. */
class OpenRuns {
  private readonly workers = new Map<string, string>();

  apply({event, fields}: LogLine, jobId: string): void {
    const {task, worker, step, workers} = fields;
    if (event === 'job-ended') this.workers.clear();
    if (event === 'worker-crashed') this.endOnWorker(worker);
    if (event === 'job-waiting' && workers === undefined) {
      this.endOfStep(`${jobId}.${String(step)}.`);
    }
    if (typeof task !== 'string' || !task.startsWith(jobId)) return;
    if (event === 'place') this.workers.set(task, String(worker));
    if (RUN_ENDS.has(event)) this.workers.delete(task);
  }

  /** Ends the runs on a worker that has crashed. */
  private endOnWorker(lost: unknown): void {
    for (const [task, worker] of this.workers) {
      if (worker === lost) this.workers.delete(task);
    }
  }

  /** Ends the runs of a step of which no run is active any more. */
  private endOfStep(prefix: string): void {
    for (const task of this.workers.keys()) {
      if (task.startsWith(prefix)) this.workers.delete(task);
    }
  }

  /** Returns whether a line tells of the loss of a worker with such a run. */
  isWorkerEvent({event, fields}: LogLine): boolean {
    if (!event.startsWith('worker-')) return false;
    const lost = fields['worker'];
    return [...this.workers.values()].some((worker) => worker === lost);
  }

  get size(): number {
    return this.workers.size;
  }

  describe(): string {
    return [...this.workers]
      .map(([task, worker]) => `${task} on ${worker}`)
      .join(', ');
  }
}

function describeGap(
  previous: LogLine,
  next: LogLine,
  lines: readonly LogLine[],
  openRuns: OpenRuns,
): LifeEntry[] {
  const [fromMs, toMs] = [previous.timeMs, next.timeMs];
  if (toMs - fromMs < MIN_GAP_MS) return [];
  const seconds = ((toMs - fromMs) / MS_PER_SECOND).toFixed(1);
  const entries: LifeEntry[] = [];
  const add = (event: string, text: string): void => {
    entries.push({timeMs: fromMs, node: '', event, text});
  };
  if (openRuns.size > 0) {
    add(LifeGap.RUN, `${seconds} s ${openRuns.describe()}`);
  } else {
    add(LifeGap.WAIT, `${seconds} s ${causesOf(lines, fromMs, toMs)}`);
  }
  const omitted = countOmitted(lines, fromMs, toMs);
  if (omitted > 0) {
    add(
      LifeGap.EVIDENCE_MISSING,
      `up to ${omitted} lines left out (lines-omitted)`,
    );
  }
  return entries;
}

function countOmitted(
  lines: readonly LogLine[],
  fromMs: number,
  toMs: number,
): number {
  let count = 0;
  for (const {event, timeMs, fields} of lines) {
    if (event !== 'lines-omitted' || timeMs < fromMs) continue;
    if (timeMs <= toMs + OMISSION_DELAY_MS) count += Number(fields['omitted']);
  }
  return count;
}

/** Names what else happened in a wait: no owner, other tasks that waited. */
function causesOf(
  lines: readonly LogLine[],
  fromMs: number,
  toMs: number,
): string {
  const inGap = lines.filter(({timeMs}) => timeMs >= fromMs && timeMs <= toMs);
  const causes: string[] = [];
  const loads = inGap.filter(({event}) => event === 'load');
  const times = [fromMs, ...loads.map(({timeMs}) => timeMs), toMs];
  const silentMs = Math.max(
    ...times.slice(1).map((timeMs, index) => timeMs - times[index]!),
  );
  if (silentMs >= NO_OWNER_MS) {
    causes.push(`no owner for ${(silentMs / MS_PER_SECOND).toFixed(1)} s`);
  }
  if (loads.length > 0) {
    const waiting = loads.map(({fields}) => Number(fields['waitingTasks']));
    causes.push(`up to ${Math.max(...waiting)} tasks waited`);
  }
  return causes.length > 0 ? causes.join('; ') : 'no line tells why';
}

function toEntry({timeMs, node, event, fields}: LogLine): LifeEntry {
  const text = Object.entries(fields)
    .filter(([name]) => !COMMON_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
  return {timeMs, node, event, text};
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
