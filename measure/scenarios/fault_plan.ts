import {sleep} from '../../src/clock/sleep.js';
import {RandomSource} from '../../src/random/random_source.js';
import {Fleet} from '../../testing/fleet.js';

/** A fault that begins, lasts and ends. */
interface Fault {
  name: string;
  begin(): Promise<void>;
  end(): Promise<void>;
}

const SHORTEST_MS = 500;
const LONGEST_MS = 2500;

/** Brings faults about at random, alone and two at a time. */
export class FaultPlan {
  readonly counts: Record<string, number> = {};
  /** Processes that were killed and started again, by role and member. */
  readonly restarted = new Set<string>();
  private readonly busy = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: RandomSource,
  ) {}

  /** Runs faults until `untilMs`, a reading of `performance.now()`. */
  async run(untilMs: number): Promise<void> {
    const lanes = [this.runLane(untilMs), this.runLane(untilMs)];
    await Promise.all(lanes);
  }

  private async runLane(untilMs: number): Promise<void> {
    while (performance.now() < untilMs) {
      const fault = this.choose();
      if (this.busy.has(fault.name)) {
        await sleep(50);
        continue;
      }
      this.busy.add(fault.name);
      const kind = fault.name.split(' ')[0]!;
      this.counts[kind] = (this.counts[kind] ?? 0) + 1;
      await fault.begin();
      const spreadMs = LONGEST_MS - SHORTEST_MS;
      await sleep(SHORTEST_MS + spreadMs * this.random.next());
      await fault.end();
      this.busy.delete(fault.name);
      await sleep(300 * this.random.next());
    }
  }

  private pick<T>(items: readonly T[]): T {
    return items[this.random.nextInteger(items.length)]!;
  }

  private choose(): Fault {
    const kinds = [
      () => this.kill(),
      () => this.pause(),
      () => this.platform(),
      () => this.memberLink(),
      () => this.targetLink(),
      () => this.target(),
      () => this.leavingTarget(),
    ];
    return this.pick(kinds)();
  }

  private kill(): Fault {
    const {member} = this.pick(this.fleet.members);
    const role = this.pick(['entry', 'scheduler']);
    const child = this.fleet.process(role, member);
    return {
      // One process at a time, so that each data centre keeps a living one.
      name: 'kill',
      begin: async () => {
        this.restarted.add(`${role} ${member}`);
        await child.kill();
      },
      end: () => Promise.resolve(child.start()),
    };
  }

  private pause(): Fault {
    const {member} = this.pick(this.fleet.members);
    const child = this.fleet.process(this.pick(['entry', 'scheduler']), member);
    return {
      name: 'pause',
      begin: () => Promise.resolve(child.signal('SIGSTOP')),
      end: () => Promise.resolve(child.signal('SIGCONT')),
    };
  }

  private platform(): Fault {
    const faults = this.pick([
      {down: true},
      {delayMs: 200},
      {loseAnswers: 0.3},
    ]);
    return {
      name: 'platform',
      begin: () => this.fleet.setPlatformFaults(faults),
      end: () => this.fleet.setPlatformFaults({}),
    };
  }

  private memberLink(): Fault {
    const from = this.pick(this.fleet.members).member;
    const to = this.pick([
      'platform',
      ...this.fleet.members.map(({member}) => member),
    ]);
    const faults = this.pick([
      {forward: {silent: true}},
      {backward: {silent: true}},
      {forward: {loss: 0.1}, backward: {loss: 0.1}},
      {forgetOpen: true},
      {cut: true},
    ]);
    return this.linkFault(`link ${from}>${to}`, {from, to}, faults);
  }

  private targetLink(): Fault {
    const to = this.pick(this.targets());
    const faults = this.pick([
      {forgetOpen: true},
      {backward: {silent: true}},
      {forward: {loss: 0.1}, backward: {loss: 0.1}},
    ]);
    return this.linkFault(`target-link ${to}`, {from: 'any', to}, faults);
  }

  private linkFault(
    name: string,
    ends: {from: string; to: string},
    faults: Parameters<Fleet['mesh']['setFaults']>[1],
  ): Fault {
    const {mesh} = this.fleet;
    return {
      name,
      begin: () => Promise.resolve(mesh.setFaults(ends, faults)),
      end: () => Promise.resolve(mesh.setFaults(ends, {})),
    };
  }

  private target(): Fault {
    const target = this.pick(this.targets());
    const faults = this.pick([
      {slowdown: 5},
      {silent: true},
      {truncate: true},
      {unreachable: true},
    ]);
    return {
      name: `target ${target}`,
      begin: () => this.control({target, faults}),
      end: () => this.control({target, faults: {}}),
    };
  }

  private leavingTarget(): Fault {
    const target = this.pick(this.targets());
    return {
      name: `leaving ${target}`,
      begin: () => this.control({target, leave: true}),
      end: () => this.control({target, comeBack: true}),
    };
  }

  private async control(body: Record<string, unknown>): Promise<void> {
    await this.fleet.targetsControl(body);
  }

  private targets(): string[] {
    return this.fleet.vms
      .filter(({kind}) => kind === 'target')
      .map(({vm}) => vm);
  }
}
