import {PeerAddress, PeerNetwork} from '../links/peer_network.js';
import {ConfigurationDelta} from './configuration_delta.js';
import {ConfigurationPeer} from './configuration_peer.js';

/** Name of the request for the changes after a revision. */
export const CONFIGURATION_SINCE_REQUEST = 'configurationSince';

const TIMEOUT_MS = 1000;

/** Asks a peer over its link. */
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

  async configurationSince(revision: number): Promise<ConfigurationDelta> {
    const answer = await this.network.request(
      this.address,
      CONFIGURATION_SINCE_REQUEST,
      {body: {revision}, timeoutMs: TIMEOUT_MS},
    );
    return answer as ConfigurationDelta;
  }
}

/** Answers the questions of peers over their links. */
export function answerConfigurationRequests(
  network: PeerNetwork,
  answer: (sinceRevision: number) => ConfigurationDelta,
): void {
  network.onRequest(CONFIGURATION_SINCE_REQUEST, (body) =>
    Promise.resolve(answer((body as {revision: number}).revision)),
  );
}
