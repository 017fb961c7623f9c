import {Clock} from '../clock/clock.js';
import {CONFIGURATION_PREFIX} from '../contracts/configuration_key.js';
import {ConfigurationStore} from '../contracts/configuration_store.js';
import {PlatformService} from '../platform/platform_service.js';

const INTERVAL_MS = 1000;

/** Reads the configuration from the platform at an interval; a baseline. */
export class PolledConfiguration extends ConfigurationStore {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly platform: PlatformService,
    private readonly ownClock: Clock,
  ) {
    super({clock: ownClock});
  }

  /** Reads now and then at the interval. */
  async start(): Promise<void> {
    const askedMs = this.ownClock.nowMs();
    try {
      const {entries, revision} =
        await this.platform.list(CONFIGURATION_PREFIX);
      const delta = {
        entries,
        isSnapshot: true,
        sinceRevision: 0,
        completeRevision: revision,
        ageMs: 0,
      };
      this.applyDelta(delta, askedMs);
    } catch {
      // The last contracts stay in effect.
    }
    this.timer = setTimeout(() => void this.start(), INTERVAL_MS);
  }

  /** Stops reading. */
  stop(): void {
    clearTimeout(this.timer);
  }
}
