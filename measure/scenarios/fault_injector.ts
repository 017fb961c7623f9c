import {sleep} from '../../src/clock/sleep.js';
import {RandomSource} from '../../src/random/random_source.js';
import {Fleet} from '../../testing/fleet.js';

/** Fault that can be started and ended. */
interface Fault {
  name: string;
  begin(): Promise<void>;
  end(): Promise<void>;
}

const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 2500;

/** Injects random faults, at most two at the same time. */
export class FaultInjector {
  /** Number of injected faults by kind. */
  readonly counts: Record<string, number> = {};
  /** Processes that were killed and restarted, as `role member`. */
  readonly restarted = new Set<string>();
  private readonly activeFaults = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: RandomSource,
  ) {}

  /** Injects faults until `performance.now()` reaches `untilMs`. */
  async run(untilMs: number): Promise<void> {
    const loops = [this.runFaultLoop(untilMs), this.runFaultLoop(untilMs)];
    await Promise.all(loops);
  }

  private async runFaultLoop(untilMs: number): Promise<void> {
    while (performance.now() < untilMs) {
      const fault = this.chooseFault();
      if (this.activeFaults.has(fault.name)) {
        await sleep(50);
        continue;
      }
      this.activeFaults.add(fault.name);
      const kind = fault.name.split(' ')[0]!;
      this.counts[kind] = (this.counts[kind] ?? 0) + 1;
      await fault.begin();
      const rangeMs = MAX_FAULT_MS - MIN_FAULT_MS;
      await sleep(MIN_FAULT_MS + rangeMs * this.random.next());
      await fault.end();
      this.activeFaults.delete(fault.name);
      await sleep(300 * this.random.next());
    }
  }

  private pickRandom<T>(items: readonly T[]): T {
    return items[this.random.nextInteger(items.length)]!;
  }

  private chooseFault(): Fault {
    const creators = [
      () => this.createKillFault(),
      () => this.createPauseFault(),
      () => this.createPlatformFault(),
      () => this.createMemberLinkFault(),
      () => this.createTargetLinkFault(),
      () => this.createTargetFault(),
      () => this.createLeavingTargetFault(),
    ];
    return this.pickRandom(creators)();
  }

  private createKillFault(): Fault {
    const {member} = this.pickRandom(this.fleet.members);
    const role = this.pickRandom(['entry', 'scheduler']);
    const child = this.fleet.process(role, member);
    return {
      // All kill faults share one name, so that they never overlap: only one
      // process is down at a time, and each data centre keeps a live one.
      name: 'kill',
      begin: async () => {
        this.restarted.add(`${role} ${member}`);
        await child.kill();
      },
      end: () => Promise.resolve(child.start()),
    };
  }

  private createPauseFault(): Fault {
    const {member} = this.pickRandom(this.fleet.members);
    const child = this.fleet.process(
      this.pickRandom(['entry', 'scheduler']),
      member,
    );
    return {
      name: 'pause',
      begin: () => Promise.resolve(child.signal('SIGSTOP')),
      end: () => Promise.resolve(child.signal('SIGCONT')),
    };
  }

  private createPlatformFault(): Fault {
    const faults = this.pickRandom([
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

  private createMemberLinkFault(): Fault {
    const from = this.pickRandom(this.fleet.members).member;
    const to = this.pickRandom([
      'platform',
      ...this.fleet.members.map(({member}) => member),
    ]);
    const faults = this.pickRandom([
      {forward: {silent: true}},
      {backward: {silent: true}},
      {forward: {loss: 0.1}, backward: {loss: 0.1}},
      {forgetOpen: true},
      {cut: true},
    ]);
    return this.createLinkFault(`link ${from}>${to}`, {from, to}, faults);
  }

  private createTargetLinkFault(): Fault {
    const to = this.pickRandom(this.targetNames());
    const faults = this.pickRandom([
      {forgetOpen: true},
      {backward: {silent: true}},
      {forward: {loss: 0.1}, backward: {loss: 0.1}},
    ]);
    return this.createLinkFault(`target-link ${to}`, {from: 'any', to}, faults);
  }

  private createLinkFault(
    name: string,
    endpoints: {from: string; to: string},
    faults: Parameters<Fleet['mesh']['setFaults']>[1],
  ): Fault {
    const {mesh} = this.fleet;
    return {
      name,
      begin: () => Promise.resolve(mesh.setFaults(endpoints, faults)),
      end: () => Promise.resolve(mesh.setFaults(endpoints, {})),
    };
  }

  private createTargetFault(): Fault {
    const target = this.pickRandom(this.targetNames());
    const faults = this.pickRandom([
      {slowdown: 5},
      {silent: true},
      {truncate: true},
      {unreachable: true},
    ]);
    return {
      name: `target ${target}`,
      begin: () => this.controlTargets({target, faults}),
      end: () => this.controlTargets({target, faults: {}}),
    };
  }

  private createLeavingTargetFault(): Fault {
    const target = this.pickRandom(this.targetNames());
    return {
      name: `leaving ${target}`,
      begin: () => this.controlTargets({target, leave: true}),
      end: () => this.controlTargets({target, comeBack: true}),
    };
  }

  private async controlTargets(body: Record<string, unknown>): Promise<void> {
    await this.fleet.targetsControl(body);
  }

  private targetNames(): string[] {
    return this.fleet.vms
      .filter(({kind}) => kind === 'target')
      .map(({vm}) => vm);
  }
}
