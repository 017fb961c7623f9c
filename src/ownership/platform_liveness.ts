import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {PlatformService} from '../platform/platform_service.js';

/** Options of {@link PlatformLiveness}. */
export interface PlatformLivenessOptions {
  platform: Pick<PlatformService, 'read' | 'write'>;
  clock: Clock;
  /** Prefix of the liveness keys of this role and data centre. */
  keyPrefix: string;
  /** Name of this member. */
  self: string;
}

const ANNOUNCE_INTERVAL_MS = 300;
// Three announcement intervals, so that a working member does not lose its
// shards because of a single late write.
const VERIFY_INTERVAL_MS = 900;
const PROTECTION_MS = 2000;
const KEY_TIME_TO_LIVE_MS = 5000;

/**
 * Liveness check through the platform for members that have lost contact with
 * a peer. Each such member repeatedly rewrites a key of its own. A suspected
 * member whose key still changes keeps its shards, even if its heartbeats reach
 * no peer.
 */
export class PlatformLiveness {
  private revision = 0;
  private lastAnnouncedMs = Number.NEGATIVE_INFINITY;
  private readonly protectedUntilMs = new Map<string, number>();

  constructor(private readonly options: PlatformLivenessOptions) {}

  /** Rewrites this member's key, at most once per announcement interval. */
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
      // While the platform is unreachable, no member can take over shards. If
      // the write took effect, the next one conflicts and returns the revision.
    }
  }

  /**
   * Reads the key of a suspected member twice, one verification interval apart,
   * and protects the member for a time if the key has changed.
   */
  async verify(member: string): Promise<void> {
    const before = await this.revisionOf(member);
    await sleep(VERIFY_INTERVAL_MS);
    const after = await this.revisionOf(member);
    if (after === before) return;
    const untilMs = this.options.clock.nowMs() + PROTECTION_MS;
    this.protectedUntilMs.set(member, untilMs);
  }

  /** Whether a recent verification found that the member is alive. */
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
