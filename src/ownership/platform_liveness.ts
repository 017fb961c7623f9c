import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {PlatformService} from '../platform/platform_service.js';

/** Options of {@link PlatformLiveness}. */
export interface PlatformLivenessOptions {
  platform: Pick<PlatformService, 'read' | 'write'>;
  clock: Clock;
  /** Prefix of the liveness keys of the role and data centre. */
  keyPrefix: string;
  /** Name of this member. */
  self: string;
}

const ANNOUNCE_INTERVAL_MS = 300;
// Three times the interval of announcements, so that one late write of a
// working member does not cost it its shards.
const VERIFY_INTERVAL_MS = 900;
const PROTECTION_MS = 2000;
const KEY_TIME_TO_LIVE_MS = 5000;

/**
 * Proof of life through the platform for members that lost the link to a
 * peer. A member that works and can reach the platform keeps its shards even
 * if no peer hears it.
 */
export class PlatformLiveness {
  private revision = 0;
  private lastAnnouncedMs = Number.NEGATIVE_INFINITY;
  private readonly protectedUntilMs = new Map<string, number>();

  constructor(private readonly options: PlatformLivenessOptions) {}

  /** Rewrites this member's key, at most once per interval. */
  async announce(): Promise<void> {
    const {clock, platform, keyPrefix, self} = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - this.lastAnnouncedMs < ANNOUNCE_INTERVAL_MS) return;
    this.lastAnnouncedMs = nowMs;
    try {
      const result = await platform.write({
        key: keyPrefix + self,
        value: String(clock.wallMs()),
        expectedRevision: this.revision,
        timeToLiveMs: KEY_TIME_TO_LIVE_MS,
      });
      this.revision = result.written
        ? result.revision
        : (result.current?.revision ?? 0);
    } catch {
      // Without the platform nobody can take over either. A write in doubt
      // shows as a conflict at the next one, which gives the revision.
    }
  }

  /** Reads a suspect's key at both ends of an interval; a change protects it. */
  async verify(member: string): Promise<void> {
    const before = await this.revisionOf(member);
    await sleep(VERIFY_INTERVAL_MS);
    const after = await this.revisionOf(member);
    if (after === before) return;
    const untilMs = this.options.clock.nowMs() + PROTECTION_MS;
    this.protectedUntilMs.set(member, untilMs);
  }

  /** Tells whether a member proved recently that it works. */
  isProtected(member: string): boolean {
    const untilMs = this.protectedUntilMs.get(member) ?? 0;
    return this.options.clock.nowMs() < untilMs;
  }

  private async revisionOf(member: string): Promise<number> {
    const entry = await this.options.platform.read(
      this.options.keyPrefix + member,
    );
    return entry?.revision ?? 0;
  }
}
