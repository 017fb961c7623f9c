import {Logger} from 'pino';

import {Clock} from '../clock/clock.js';
import {PeerNetwork} from '../links/peer_network.js';
import {PlatformService} from '../platform/platform_service.js';
import {RandomSource} from '../random/random_source.js';
import {ProcessSettings} from '../settings/process_settings.js';
import {ConfigurationPropagation} from './configuration_propagation.js';
import {ConfigurationStore} from './configuration_store.js';
import {
  handleConfigurationRequests,
  LinkConfigurationPeer,
} from './link_configuration_peer.js';

/** Dependencies of {@link createPropagation}. */
export interface PropagationDependencies {
  settings: ProcessSettings;
  network: PeerNetwork;
  store: ConfigurationStore;
  platform: PlatformService;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Returns the names of the live entries of this data centre. */
  livingEntries: () => readonly string[];
}

/** Creates the configuration propagation of a process with entries as peers. */
export function createPropagation(
  dependencies: PropagationDependencies,
): ConfigurationPropagation {
  const {settings, network, logger} = dependencies;
  const {role} = network.identity;
  const peers = settings.members
    .filter(({member}) => role !== 'entry' || member !== settings.member)
    // Schedulers request changes only from entries of their own data centre.
    .filter(
      ({dataCentre}) => role === 'entry' || dataCentre === settings.dataCentre,
    )
    .map(
      ({member, dataCentre, host, entryLinkPort}) =>
        new LinkConfigurationPeer(network, {
          member,
          role: 'entry',
          dataCentre,
          host,
          port: entryLinkPort,
        }),
    );
  const isLocal = (peer: LinkConfigurationPeer): boolean =>
    peer.dataCentre === settings.dataCentre;
  const propagation = new ConfigurationPropagation({
    ...dependencies,
    self: settings.member,
    role,
    localPeers: peers.filter(isLocal),
    remotePeers: peers.filter((peer) => !isLocal(peer)),
    onFailure: (error) =>
      logger.debug(
        {error: error.message},
        'configuration request to the platform or a peer failed',
      ),
  });
  if (role === 'entry') {
    handleConfigurationRequests(network, (since) =>
      propagation.deltaSince(since),
    );
  }
  return propagation;
}
