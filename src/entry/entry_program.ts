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

const CUT_OFF_EXIT_STATUS = 1;

/** Runs the entry until a signal stops it. */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const own = settings.members.find(({member}) => member === settings.member);
  if (!own) {
    throw new ResultError(
      ResultCodes.SETTINGS_INVALID,
      `Cannot start: member "${settings.member}" does not occur in "members"`,
    );
  }
  const parts = composeEntry(settings);
  const entry = parts.resolve(EntryProcess);
  await parts.resolve(PeerNetwork).listen(own.host, own.entryLinkPort);
  await parts.resolve(Inventory).start();
  parts.resolve(ConfigurationPropagation).start();
  await entry.listen(own.host, own.entryHttpPort);
  handleSignals(parts);
}

function handleSignals(parts: DependencyContainer): void {
  const entry = parts.resolve(EntryProcess);
  let isStopping = false;
  const onSignal = (signal: string): void => {
    if (isStopping) {
      const cutOff = entry.openRequestIds();
      process.stderr.write(
        `${signal} again: stopping at once; cut off: ${cutOff.join(', ') || 'nothing'}\n`,
        () => process.exit(CUT_OFF_EXIT_STATUS),
      );
      return;
    }
    isStopping = true;
    void entry
      .stop()
      .then(() => stopParts(parts))
      .then(() => process.exit(0));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function stopParts(parts: DependencyContainer): Promise<void> {
  parts.resolve(ClaimStore).stop();
  parts.resolve(ConfigurationPropagation).stop();
  parts.resolve(Inventory).stop();
  parts.resolve(Membership).stop();
  await parts.resolve(PeerNetwork).stop();
  await parts.resolve(HttpPlatformService).stop();
}
