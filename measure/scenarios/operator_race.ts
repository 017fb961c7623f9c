import {sleep} from '../../src/clock/sleep.js';
import {Fleet} from '../../testing/fleet.js';
import {callOperatorApi} from '../../testing/operator_api.js';

const ROUND_INTERVAL_MS = 700;

/**
 * Amends one contract concurrently through two entries and checks revisions.
 */
export class OperatorRace {
  changes = 0;
  conflicts = 0;
  inDoubt = 0;
  /** Number of rounds in which both amendments of a revision were accepted. */
  lostUpdates = 0;
  /** Number of reads that returned an older revision than before. */
  reverted = 0;
  private readonly seenRevisions = new Map<string, number>();
  /** Highest accepted revision. */
  private accepted = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly contract: Record<string, unknown>,
  ) {}

  /** Amends the contract until `performance.now()` reaches `untilMs`. */
  async run(untilMs: number): Promise<void> {
    for (let round = 1; performance.now() < untilMs; round++) {
      const revision = await this.readCurrentRevision();
      if (revision > 0) await this.amendConcurrently(round, revision);
      await this.checkEntries();
      await sleep(ROUND_INTERVAL_MS);
    }
  }

  private async amendConcurrently(
    round: number,
    revision: number,
  ): Promise<void> {
    const members = [this.fleet.members[0]!, this.fleet.members.at(-1)!];
    const answers = await Promise.all(
      members.map(({member}, index) =>
        callOperatorApi(this.fleet.entryOrigin(member), {
          method: 'PUT',
          path: '/v1/contracts/association',
          body: {...this.contract, share: round + index / 2},
          ifMatch: revision,
        }).catch(() => undefined),
      ),
    );
    const accepted = answers.filter((answer) => answer && answer.status < 300);
    this.changes += accepted.length;
    this.conflicts += answers.filter((answer) => answer?.status === 409).length;
    this.inDoubt += answers.filter(
      (answer) => !answer || answer.status >= 500,
    ).length;
    // Both amendments are based on the same revision: at most one may succeed.
    if (accepted.length > 1) this.lostUpdates += 1;
    for (const answer of accepted) {
      const acceptedRevision = Number(answer!.body['revision']);
      this.accepted = Math.max(this.accepted, acceptedRevision);
    }
  }

  private async readCurrentRevision(): Promise<number> {
    const origin = this.fleet.entryOrigin(this.fleet.members[0]!.member);
    const answer = await callOperatorApi(origin, {
      method: 'GET',
      path: '/v1/contracts/association',
    }).catch(() => undefined);
    const revision = Number(answer?.body['revision'] ?? 0);
    if (answer?.status === 200 && revision < this.accepted) this.reverted += 1;
    return revision;
  }

  private async checkEntries(): Promise<void> {
    await Promise.all(
      this.fleet.members.map(({member}) => this.checkEntry(member)),
    );
  }

  private async checkEntry(member: string): Promise<void> {
    const answer = await callOperatorApi(this.fleet.entryOrigin(member), {
      method: 'GET',
      path: '/v1/contracts/association?source=memory',
    }).catch(() => undefined);
    if (answer?.status !== 200) return;
    const revision = Number(answer.body['revisionInForceHere']);
    if (revision < (this.seenRevisions.get(member) ?? 0)) this.reverted += 1;
    this.seenRevisions.set(member, revision);
  }
}
