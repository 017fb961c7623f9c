import {Record} from './record.js';

/** A member of a gang on its executor. */
export interface Member {
  task: string;
  run: number;
  /** Checkpoint that its start carried; empty if none. */
  checkpoint: string;
  /** Ends the member, as `done`, `broken` or `alone`. */
  end(how: string): void;
}

/** Options of {@link GangHall}. */
export interface GangHallOptions {
  record: Record;
  /** Number of tasks of the step that a task belongs to. */
  sizeOf: (task: string) => number;
  /** Time in ms that the gang works in all. */
  workMs: number;
}

interface Gang {
  members: Map<string, Member>;
  timers: Map<string, NodeJS.Timeout>;
  workingSinceMs: number | undefined;
  /** Work in ms that the checkpoint of the run stands for. */
  resumedMs: number;
  endTimer: NodeJS.Timeout | undefined;
  /** Checkpoint of the gang once a member has ended. */
  lastSaved: string | undefined;
}

/** `gangTimeoutMs`. */
const GANG_TIMEOUT_MS = 3000;

/** `checkpointIntervalS`. */
const CHECKPOINT_INTERVAL_MS = 2000;

/**
 * What the executors know of each other's gang members. A gang works from the
 * moment at which all tasks of one run are present; all of them have to carry
 * the same checkpoint.
 */
export class GangHall {
  private readonly gangs = new Map<string, Gang>();

  constructor(private readonly options: GangHallOptions) {}

  /** Adds a member that has begun. */
  join(member: Member): void {
    const gang = this.gangOf(member);
    gang.members.set(member.task, member);
    gang.timers.set(
      member.task,
      setTimeout(() => {
        if (gang.workingSinceMs === undefined) member.end('alone');
      }, GANG_TIMEOUT_MS),
    );
    if (gang.members.size < this.options.sizeOf(member.task)) return;
    const checkpoints = new Set(
      [...gang.members.values()].map(({checkpoint}) => checkpoint),
    );
    if (checkpoints.size > 1) {
      const values = [...gang.members.values()].map(
        ({task, checkpoint}) => `${task} "${checkpoint}"`,
      );
      this.options.record.add(
        `the members of run ${member.run} carry different checkpoints: ${values.join(', ')}`,
      );
      return;
    }
    this.work(gang, [...checkpoints][0]!);
  }

  /** Removes a member that has ended; the others of a working gang break. */
  leave(member: {task: string; run: number}): void {
    const key = keyOf(member);
    const gang = this.gangs.get(key);
    if (!gang?.members.delete(member.task)) return;
    clearTimeout(gang.timers.get(member.task));
    if (gang.workingSinceMs === undefined) return;
    clearTimeout(gang.endTimer);
    gang.lastSaved = this.savedByGang(gang);
    gang.workingSinceMs = undefined;
    for (const other of [...gang.members.values()]) other.end('broken');
    this.gangs.delete(key);
  }

  /** Latest checkpoint of a member. */
  savedOf(member: {task: string; run: number}, carried: string): string {
    const gang = this.gangs.get(keyOf(member));
    if (gang?.lastSaved !== undefined) return gang.lastSaved;
    if (gang?.workingSinceMs === undefined) return carried;
    return this.savedByGang(gang);
  }

  /** Work of a gang in percent. */
  percentOf(member: {task: string; run: number}): number {
    const gang = this.gangs.get(keyOf(member));
    if (gang?.workingSinceMs === undefined) return 0;
    const share = this.workedMs(gang) / this.options.workMs;
    return Math.min(99, Math.floor(100 * share));
  }

  private savedByGang(gang: Gang): string {
    const intervals = Math.floor(this.workedMs(gang) / CHECKPOINT_INTERVAL_MS);
    return intervals === 0 ? '' : intervals.toString(16).padStart(16, '0');
  }

  private work(gang: Gang, checkpoint: string): void {
    const intervals = checkpoint === '' ? 0 : parseInt(checkpoint, 16);
    gang.resumedMs = intervals * CHECKPOINT_INTERVAL_MS;
    gang.workingSinceMs = performance.now();
    for (const timer of gang.timers.values()) clearTimeout(timer);
    gang.endTimer = setTimeout(() => {
      const members = [...gang.members.values()];
      gang.workingSinceMs = undefined;
      for (const member of members) member.end('done');
    }, this.options.workMs - gang.resumedMs);
  }

  private workedMs({workingSinceMs, resumedMs}: Gang): number {
    return resumedMs + performance.now() - (workingSinceMs ?? 0);
  }

  private gangOf(member: {task: string; run: number}): Gang {
    const key = keyOf(member);
    let gang = this.gangs.get(key);
    if (!gang) {
      gang = {
        members: new Map(),
        timers: new Map(),
        workingSinceMs: undefined,
        resumedMs: 0,
        endTimer: undefined,
        lastSaved: undefined,
      };
      this.gangs.set(key, gang);
    }
    return gang;
  }
}

function keyOf({task, run}: {task: string; run: number}): string {
  const [id, occurrence, step] = task.split('.');
  return `${id}.${occurrence}.${step}/${run}`;
}
