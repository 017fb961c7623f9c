import {DependencyContainer} from 'tsyringe';

import {ClaimStore} from '../claims/claim_store.js';
import {ConfigurationPropagation} from '../contracts/configuration_propagation.js';
import {PeerNetwork} from '../links/peer_network.js';
import {Membership} from '../membership/membership.js';
import {HttpPlatformService} from '../platform/http_platform_service.js';
import {Inventory} from '../platform/inventory.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {composeEntry} from './compose_entry.js';
import {EntryProcess} from './entry_process.js';
import {EntrySettings} from './entry_settings.js';

/** Exit status after a second signal. */
const ABORT_EXIT_STATUS = 1;

/**
 * Starts the entry. The first SIGTERM or SIGINT stops it gracefully, a second
 * one immediately.
 */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const ownAddress = settings.members.find(
    ({member}) => member === settings.member,
  );
  if (!ownAddress) {
    throw new ResultError(
      ResultCodes.SETTINGS_INVALID,
      `Cannot start: member "${settings.member}" is not listed in "members"`,
    );
  }
  const components = composeEntry(settings);
  const entry = components.resolve(EntryProcess);
  await components
    .resolve(PeerNetwork)
    .listen(ownAddress.host, ownAddress.entryLinkPort);
  await components.resolve(Inventory).start();
  components.resolve(ConfigurationPropagation).start();
  await entry.listen(ownAddress.host, ownAddress.entryHttpPort);
  handleSignals(components);
}

function handleSignals(components: DependencyContainer): void {
  const entry = components.resolve(EntryProcess);
  let isStopping = false;
  const onSignal = (signal: string): void => {
    if (isStopping) {
      const abortedRequests = entry.openRequestIds();
      process.stderr.write(
        `${signal} again: exiting immediately; requests cut off: ${abortedRequests.join(', ') || 'none'}\n`,
        () => process.exit(ABORT_EXIT_STATUS),
      );
      return;
    }
    isStopping = true;
    void entry
      .stop()
      .then(() => stopComponents(components))
      .then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function stopComponents(components: DependencyContainer): Promise<void> {
  components.resolve(ClaimStore).stop();
  components.resolve(ConfigurationPropagation).stop();
  components.resolve(Inventory).stop();
  components.resolve(Membership).stop();
  await components.resolve(PeerNetwork).stop();
  await components.resolve(HttpPlatformService).stop();
}
