import {Clock} from '../clock/clock.js';
import {OwnerRecord} from '../leadership/owner_record.js';
import {Link} from '../links/link.js';
import {LinkClient} from '../links/link_client.js';
import {LinkIdentity} from '../links/link_message.js';
import {NodeLog} from '../logging/node_log.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {GatewayResult} from './gateway_result.js';
import {
  fromRelayedResponse,
  HandOverMessage,
  JobMessage,
  OWNER_LINK_OPTIONS,
  OwnerMessage,
  QueueMessage,
  RelayedResponse,
  RelayedSubmission,
  SubmittedMessage,
} from './owner_messages.js';

/** Options of {@link OwnerLink}. */
export interface OwnerLinkOptions {
  clock: Clock;
  log: NodeLog;
  random: RandomSource;
  identity: LinkIdentity;
  /** Called when an established link to the owner closes. */
  onDisconnect: () => void;
  /**
   * Called with the token of the term when the owner requests a replacement.
   */
  onHandOver: (token: number) => void;
  /** Called once when a previously linked owner refuses connections. */
  onOwnerExited: () => void;
}

/** Substring of the error message if no process listens on the owner's port. */
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** Client side of a node's link to the owner of its partition. */
export class OwnerLink {
  private client: LinkClient | undefined;
  private owner: OwnerRecord | undefined;
  /**
   * Whether a link to this owner has been established. A refused connection
   * then means that its process has exited.
   */
  private wasConnected = false;

  constructor(private readonly options: OwnerLinkOptions) {}

  /**
   * Connects to the owner that the store records, in place of the previous one.
   * Opens no link if there is no owner or this node is the owner.
   */
  setOwner(owner: OwnerRecord | undefined): void {
    if (this.owner?.linkToken === owner?.linkToken) return;
    this.stop();
    this.owner = owner;
    const {identity} = this.options;
    if (!owner || owner.node === identity.member) return;
    const {clock, random, log} = this.options;
    this.client = new LinkClient({
      ...OWNER_LINK_OPTIONS,
      host: owner.host,
      port: owner.port,
      identity: {...identity, token: owner.linkToken},
      clock,
      random,
      handler: {
        onOpen: () => log.logDecision('owner-linked', {owner: owner.node}),
        onMessage: (name, body) => this.handleMessage(name, body),
        onRequest: (name) => Promise.reject(unknownRequestError(name)),
        onClose: (link, reason) => this.handleClose(link, reason),
      },
    });
  }

  private handleMessage(name: string, body: unknown): void {
    if (name !== OwnerMessage.HAND_OVER) return;
    this.options.onHandOver((body as HandOverMessage).token);
  }

  private handleClose(link: Link, reason: string): void {
    if (link.peer !== undefined) {
      const owner = this.owner?.node;
      this.options.log.logDecision('owner-unlinked', {owner, reason});
      this.wasConnected = true;
      this.options.onDisconnect();
    } else if (this.wasConnected && reason.includes(CONNECTION_REFUSED)) {
      this.wasConnected = false;
      this.options.onOwnerExited();
    }
  }

  /** Closes the link. */
  stop(): void {
    this.client?.stop();
    this.client = undefined;
    this.owner = undefined;
    this.wasConnected = false;
  }

  /** Name of the node that owns the partition, if it is known. */
  get ownerName(): string | undefined {
    return this.owner?.node;
  }

  /** Whether the link to the owner is established. */
  get isOpen(): boolean {
    return this.client?.isOpen ?? false;
  }

  /**
   * Sends a message to the owner. Dropped without a link; the owner then reads
   * the change from the store.
   */
  send(name: string, body: JobMessage | SubmittedMessage): void {
    this.client?.send(name, body);
  }

  /**
   * Sends a request to the owner.
   *
   * @throws ResultError NO_OWNER if no owner is known, else that of the link.
   */
  async request(
    name: string,
    body: JobMessage | QueueMessage | RelayedSubmission,
    timeoutMs: number,
  ): Promise<GatewayResult> {
    if (!this.client) throw noOwnerError();
    const response = await this.client.request(name, body, timeoutMs);
    return fromRelayedResponse(response as RelayedResponse);
  }
}

function noOwnerError(): ResultError {
  return new ResultError(
    ResultCodes.NO_OWNER,
    'Cannot send a request to the owner: no owner is known',
  );
}

function unknownRequestError(name: string): ResultError {
  return new ResultError(
    ResultCodes.BAD_REQUEST,
    `Cannot handle request "${name}": unknown request name`,
  );
}
