import {Clock} from '../clock/clock.js';
import {OwnerRecord} from '../leadership/owner_record.js';
import {Link, LinkHandler} from '../links/link.js';
import {LinkServer} from '../links/link_server.js';
import {LinkIdentity} from '../links/link_message.js';
import {NodeLog} from '../logging/node_log.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {decodeSubmission} from '../work/job_records.js';
import {JobTable} from '../work/job_table.js';
import {JobGateway} from './job_gateway.js';
import {OwnedJobs} from './owner_client.js';
import {
  broadcast,
  HandOverMessage,
  JobMessage,
  OWNER_LINK_OPTIONS,
  OwnerMessage,
  QueueMessage,
  RelayedResponse,
  RelayedSubmission,
  SubmittedMessage,
  toRelayedResponse,
} from './owner_messages.js';

/** Options of {@link OwnerLinkServer}. */
export interface OwnerLinkServerOptions {
  clock: Clock;
  log: NodeLog;
  identity: LinkIdentity;
  /** Record of this owner: address to listen on, and token of its links. */
  owner: OwnerRecord;
  table: JobTable;
  gateway: JobGateway;
  /** Returns the jobs of this owner; undefined until they are loaded. */
  ownedJobs: () => OwnedJobs | undefined;
}

/** Nodes that get a hand-over request; more would compete for ownership. */
const HAND_OVER_BATCH_SIZE = 2;

/** Server side of the links from all other nodes to the owner, for one term. */
export class OwnerLinkServer implements LinkHandler {
  private readonly server: LinkServer;
  private readonly links = new Set<Link>();
  /** Links over which a takeover was requested; cleared once all are in it. */
  private readonly requestedLinks = new Set<Link>();

  constructor(private readonly options: OwnerLinkServerOptions) {
    const {identity, owner, clock} = options;
    this.server = new LinkServer({
      ...OWNER_LINK_OPTIONS,
      identity: {...identity, token: owner.linkToken},
      handler: this,
      clock,
    });
  }

  /** Starts to accept links; rejects if the address cannot be bound. */
  async listen(): Promise<void> {
    const {host, port} = this.options.owner;
    await this.server.listen(host, port);
  }

  /** Closes all links. */
  async stop(): Promise<void> {
    await this.server.stop();
  }

  /**
   * Requests that another node replaces this owner, which cannot reach the
   * store; nodes with the most processors come first. Each call selects other
   * nodes, since the store may be unreachable from the earlier ones as well.
   *
   * @param token - Token of this owner's term.
   */
  requestHandOver(token: number): void {
    let candidates = [...this.links].filter(
      (link) => !this.requestedLinks.has(link),
    );
    if (candidates.length === 0) {
      this.requestedLinks.clear();
      candidates = [...this.links];
    }
    candidates.sort(
      (left, right) => getProcessors(right) - getProcessors(left),
    );
    const selected = candidates.slice(0, HAND_OVER_BATCH_SIZE);
    for (const link of selected) this.requestedLinks.add(link);
    const message: HandOverMessage = {token};
    broadcast(selected, OwnerMessage.HAND_OVER, message);
    this.options.log.logDecision('hand-over', {
      term: token,
      nodes: selected.map(({peer}) => peer?.member),
    });
  }

  onOpen(link: Link): void {
    this.links.add(link);
    this.options.log.logDecision('node-linked', {peer: link.peer?.member});
  }

  onClose(link: Link, reason: string): void {
    this.requestedLinks.delete(link);
    if (!this.links.delete(link)) return;
    this.options.log.logDecision('node-unlinked', {
      peer: link.peer?.member,
      reason,
    });
  }

  onMessage(name: string, body: unknown): void {
    const {table} = this.options;
    if (name === OwnerMessage.SUBMITTED) {
      const {jobId, submission} = body as SubmittedMessage;
      table.addSubmission(jobId, decodeSubmission(submission));
    } else if (name === OwnerMessage.CANCELLED) {
      table.addCancellation((body as JobMessage).jobId);
    }
  }

  async onRequest(name: string, body: unknown): Promise<RelayedResponse> {
    const {gateway} = this.options;
    const {jobId} = body as JobMessage;
    if (name === OwnerMessage.SUBMIT) {
      const {submission, remainingMs} = body as RelayedSubmission;
      const {definition} = decodeSubmission(submission);
      return toRelayedResponse(await gateway.submit(definition, remainingMs));
    }
    if (name === OwnerMessage.CANCEL) {
      return toRelayedResponse(await gateway.cancel(jobId));
    }
    if (name === OwnerMessage.PHASE) {
      return toRelayedResponse(await gateway.getPhase(jobId));
    }
    if (name === OwnerMessage.EXPLAIN) {
      return toRelayedResponse(await gateway.explain(jobId));
    }
    if (name === OwnerMessage.PENDING) {
      return this.countPending((body as QueueMessage).queue);
    }
    throw new ResultError(
      ResultCodes.BAD_REQUEST,
      `Cannot handle request "${name}": unknown request name`,
    );
  }

  private countPending(queue: string): RelayedResponse {
    const owned = this.options.ownedJobs();
    if (!owned) {
      throw new ResultError(
        ResultCodes.NO_OWNER,
        'Cannot count waiting jobs: the jobs of the partition are not loaded',
      );
    }
    const pending = owned.countPending(queue);
    return toRelayedResponse({code: ResultCodes.OK, pending});
  }
}

function getProcessors({peer}: Link): number {
  return peer?.processors ?? 0;
}
