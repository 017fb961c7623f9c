import {PeerAddress, PeerNetwork} from '../links/peer_network.js';
import {ConfigurationDelta} from './configuration_delta.js';
import {ConfigurationPeer} from './configuration_peer.js';

/** Name of the request for the changes after a revision. */
export const CONFIGURATION_SINCE_REQUEST = 'configurationSince';

const REQUEST_TIMEOUT_MS = 1000;

/** Requests configuration changes from a peer over its link. */
export class LinkConfigurationPeer implements ConfigurationPeer {
  constructor(
    private readonly network: PeerNetwork,
    private readonly address: PeerAddress,
  ) {
    network.connect(address);
  }

  get member(): string {
    return this.address.member;
  }

  get dataCentre(): string {
    return this.address.dataCentre;
  }

  async fetchDelta(revision: number): Promise<ConfigurationDelta> {
    const response = await this.network.request(
      this.address,
      CONFIGURATION_SINCE_REQUEST,
      {body: {revision}, timeoutMs: REQUEST_TIMEOUT_MS},
    );
    return response as ConfigurationDelta;
  }
}

/** Handles the requests of peers for configuration changes. */
export function handleConfigurationRequests(
  network: PeerNetwork,
  deltaSince: (sinceRevision: number) => ConfigurationDelta,
): void {
  network.onRequest(CONFIGURATION_SINCE_REQUEST, (body) =>
    Promise.resolve(deltaSince((body as {revision: number}).revision)),
  );
}
