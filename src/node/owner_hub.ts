import {Clock} from '../clock/clock.js';
import {OwnerRecord} from '../leadership/owner_record.js';
import {Link, LinkHandler} from '../links/link.js';
import {LinkServer} from '../links/link_server.js';
import {LinkIdentity} from '../links/link_message.js';
import {NodeLog} from '../logging/node_log.js';
import {ResultCodes} from '../result_codes/result_code.js';
import {ResultError} from '../result_codes/result_error.js';
import {JobPhase} from '../work/job_definition.js';
import {decodeSubmission} from '../work/job_records.js';
import {JobTable} from '../work/job_table.js';
import {JobGateway} from './job_gateway.js';
import {
  broadcast,
  HandOverMessage,
  JobMessage,
  OWNER_LINK_OPTIONS,
  OwnerMessage,
  RelayedAnswer,
  RelayedSubmission,
  SubmittedMessage,
  toRelayedAnswer,
} from './owner_messages.js';

/** Options of {@link OwnerHub}. */
export interface OwnerHubOptions {
  clock: Clock;
  log: NodeLog;
  identity: LinkIdentity;
  owner: OwnerRecord;
  table: JobTable;
  gateway: JobGateway;
}

/** Nodes that are asked at a time; more would only compete. */
const HAND_OVER_NODES = 2;

/** The owner's side of the links from all other nodes, for one term. */
export class OwnerHub implements LinkHandler {
  private readonly server: LinkServer;
  private readonly links = new Set<Link>();
  /** Links that were asked to take over since all have been asked. */
  private readonly asked = new Set<Link>();

  constructor(private readonly options: OwnerHubOptions) {
    const {identity, owner, clock} = options;
    this.server = new LinkServer({
      ...OWNER_LINK_OPTIONS,
      identity: {...identity, token: owner.linkToken},
      handler: this,
      clock,
    });
  }

  /** Starts to accept links. */
  async listen(): Promise<void> {
    const {host, port} = this.options.owner;
    await this.server.listen(host, port);
  }

  /** Closes all links. */
  async stop(): Promise<void> {
    await this.server.stop();
  }

  /** Tells all nodes of phases that are stored. */
  publish(phases: ReadonlyArray<[string, JobPhase]>): void {
    if (phases.length > 0) broadcast(this.links, OwnerMessage.PHASES, phases);
  }

  /**
   * Asks some nodes to replace this owner, which cannot use the store, those on
   * large VMs first; other nodes at the next call, since the store may refuse
   * these as well.
   */
  handOver(token: number): void {
    let open = [...this.links].filter((link) => !this.asked.has(link));
    if (open.length === 0) {
      this.asked.clear();
      open = [...this.links];
    }
    open.sort((left, right) => processorsOf(right) - processorsOf(left));
    const asked = open.slice(0, HAND_OVER_NODES);
    for (const link of asked) this.asked.add(link);
    const message: HandOverMessage = {token};
    broadcast(asked, OwnerMessage.HAND_OVER, message);
    this.options.log.decide('hand-over', {
      term: token,
      nodes: asked.map(({peer}) => peer?.member),
    });
  }

  onOpen(link: Link): void {
    this.links.add(link);
    this.options.log.decide('node-linked', {node: link.peer?.member});
  }

  onClose(link: Link, reason: string): void {
    this.asked.delete(link);
    if (!this.links.delete(link)) return;
    this.options.log.decide('node-unlinked', {node: link.peer?.member, reason});
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

  async onRequest(name: string, body: unknown): Promise<RelayedAnswer> {
    const {gateway} = this.options;
    const {jobId} = body as JobMessage;
    if (name === OwnerMessage.SUBMIT) {
      const {submission, remainingMs} = body as RelayedSubmission;
      const {definition} = decodeSubmission(submission);
      return toRelayedAnswer(await gateway.submit(definition, remainingMs));
    }
    if (name === OwnerMessage.CANCEL) {
      return toRelayedAnswer(await gateway.cancel(jobId));
    }
    if (name === OwnerMessage.PHASE) {
      return toRelayedAnswer(await gateway.phaseOf(jobId));
    }
    throw new ResultError(
      ResultCodes.BAD_REQUEST,
      `Cannot answer "${name}": unknown request`,
    );
  }
}

function processorsOf({peer}: Link): number {
  return peer?.processors ?? 0;
}
