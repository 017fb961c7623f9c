import {PeerAddress, PeerNetwork} from '../links/peer_network.js';
import {Membership} from '../membership/membership.js';
import {MemberAddress} from '../settings/process_settings.js';
import {ConfigurationPropagation} from './configuration_propagation.js';
import {ConfigurationWatchOptions} from './configuration_watch.js';
import {
  answerConfigurationRequests,
  LinkConfigurationPeer,
} from './link_configuration_peer.js';

/** Options of {@link createPropagation}. */
export interface CreatePropagationOptions extends ConfigurationWatchOptions {
  network: PeerNetwork;
  /** Membership of the role of this process. */
  membership: Membership;
  /** Entry VMs of all data centres. */
  members: readonly MemberAddress[];
}

const ENTRY_ROLE = 'entry';

function toAddress(member: MemberAddress): PeerAddress {
  const {member: name, dataCentre, host, entryLinkPort: port} = member;
  return {member: name, role: ENTRY_ROLE, dataCentre, host, port};
}

/** Makes the propagation of a process whose peers are reached over links. */
export function createPropagation(
  options: CreatePropagationOptions,
): ConfigurationPropagation {
  const {network, membership, members} = options;
  const {member: self, role, dataCentre} = network.identity;
  const isEntry = role === ENTRY_ROLE;
  const addresses = members
    .filter(({member}) => !isEntry || member !== self)
    .map(toAddress);
  const local = addresses.filter((peer) => peer.dataCentre === dataCentre);
  const remote = isEntry
    ? addresses.filter((peer) => peer.dataCentre !== dataCentre)
    : [];
  const toPeer = (address: PeerAddress): LinkConfigurationPeer =>
    new LinkConfigurationPeer(network, address);
  const propagation = new ConfigurationPropagation({
    ...options,
    self,
    role,
    localPeers: local.map(toPeer),
    remotePeers: remote.map(toPeer),
    livingEntries: () => membership.living().map(({member}) => member),
  });
  membership.onHeartbeat(({member, configurationRevision}) =>
    propagation.heard(member, configurationRevision),
  );
  if (isEntry) {
    answerConfigurationRequests(network, (revision) =>
      propagation.answer(revision),
    );
  }
  return propagation;
}
