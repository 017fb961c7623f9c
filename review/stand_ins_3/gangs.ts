import {GangTable, Run} from './executor.js';

/** What a client's specification asks of a gang. */
interface GangWork {
  workMs: number;
  /** Number of members. */
  members: number;
  /** Whether each run fails by its own fault. */
  fails: boolean;
}

/** Bound of the site files on the wait for the other members. */
const GANG_TIMEOUT_MS = 3000;

/**
 * Gangs of all executors: the members of one run work from the moment when all
 * are present. They end `done` together; if one fails, the others are `broken`.
 */
export class Gangs implements GangTable {
  private readonly members = new Map<string, Run[]>();

  isGang(specification: string): boolean {
    return 'members' in (JSON.parse(specification) as object);
  }

  add(run: Run): void {
    const work = JSON.parse(run.specification) as GangWork;
    const gang = `${run.task.slice(0, run.task.lastIndexOf('.'))} ${run.run}`;
    const present = [...(this.members.get(gang) ?? []), run];
    this.members.set(gang, present);
    if (present.length === work.members) this.begin(present, work);
    else setTimeout(() => this.endAlone(gang, work), GANG_TIMEOUT_MS);
  }

  private begin(present: readonly Run[], work: GangWork): void {
    setTimeout(() => {
      // The fault shows in another member each time.
      const failing = (present[0]!.run - 1) % work.members;
      for (const run of present) {
        const index = Number(run.task.split('.').at(-1));
        if (!work.fails) run.end('done');
        else run.end(index === failing ? 'failed' : 'broken');
      }
    }, work.workMs);
  }

  private endAlone(gang: string, {members}: GangWork): void {
    const present = this.members.get(gang) ?? [];
    if (present.length === members) return;
    for (const run of present) run.end('alone');
  }
}
