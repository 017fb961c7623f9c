import {App, Request, Response} from '@tinyhttp/app';
import {Logger} from 'pino';

import {AdmissionPolicy} from '../admission/admission_policy.js';
import {Clock} from '../clock/clock.js';
import {sleep} from '../clock/sleep.js';
import {ConfigurationView} from '../contracts/configuration_view.js';
import {PeerNetwork} from '../links/peer_network.js';
import {DecisionLog} from '../logging/decision_log.js';
import {Inventory} from '../platform/inventory.js';
import {RandomSource} from '../random/random_source.js';
import {ResultCode, ResultCodes} from '../result_codes/result_code.js';
import {RoutingPolicy} from '../routing/routing_policy.js';
import {HttpTargetClient} from '../targets/http_target_client.js';
import {TargetFleet} from '../targets/target_fleet.js';
import {EntryHttp} from './entry_http.js';
import {EntryMetrics} from './entry_metrics.js';
import {EntryOwnership} from './entry_ownership.js';
import {EntrySettings} from './entry_settings.js';
import {KeyedCalls} from './keyed_calls.js';
import {PeerSlotClient, RESERVED_PATH} from './peer_slot_client.js';
import {ReservationDesk} from './reservation_desk.js';
import {ServiceRoute} from './service_route.js';
import {ServiceRouter} from './service_router.js';

/** Adds routes to the HTTP interface. */
export type MountRoutes = (app: App<Request, Response>) => void;

/** Parts that an entry process works with. */
export interface EntryParts {
  settings: EntrySettings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  network: PeerNetwork;
  inventory: Pick<Inventory, 'list' | 'onChange'>;
  ownership: EntryOwnership;
  configuration: ConfigurationView;
  admission: AdmissionPolicy;
  /** Creates the routing policy of one service. */
  createRouting: () => RoutingPolicy;
  keyedCalls: KeyedCalls;
  /** Tells whether the configuration was read. */
  isReady: () => boolean;
  /** Further routes, such as those of operators and jobs. @default none */
  routes?: readonly MountRoutes[];
}

const IDLE_CHECK_MS = 20;

/** Receives requests of callers and brings them to targets. */
export class EntryProcess {
  readonly decisions: DecisionLog;
  readonly fleet: TargetFleet;
  readonly peers: PeerSlotClient;
  private readonly router: ServiceRouter;
  private readonly desk: ReservationDesk;
  private readonly metrics: EntryMetrics;
  private readonly http: EntryHttp;
  private readonly routings = new Map<string, RoutingPolicy>();
  private isStopping = false;
  private isClosed = false;
  private isPumpDue = false;
  /** Requests whose answers have not ended. */
  private openRequests = 0;

  constructor(private readonly parts: EntryParts) {
    this.decisions = new DecisionLog(parts.logger);
    this.fleet = this.createFleet();
    this.peers = this.createPeers();
    this.router = this.createRouter();
    this.desk = new ReservationDesk({
      network: parts.network,
      fleet: this.fleet,
      routingOf: (service) => this.routingOf(service),
      waitingCount: (service) => parts.admission.waitingCount(service),
    });
    this.metrics = new EntryMetrics(() => this.gauges());
    this.http = new EntryHttp({
      limits: parts.settings.entry.limits,
      mount: (app) => this.mount(app),
    });
  }

  /** Starts to accept requests; returns the port. */
  listen(host: string, port: number): Promise<number> {
    return this.http.listen(host, port);
  }

  /** Why no request is accepted now, if none is. */
  refusal(): {code: ResultCode; text: string} | undefined {
    if (this.isClosed) {
      return {code: ResultCodes.STOPPING, text: 'Cannot accept: stopping'};
    }
    if (this.parts.isReady()) return undefined;
    return {
      code: ResultCodes.NOT_READY,
      text: 'Cannot accept: no configuration was read yet',
    };
  }

  /** Requests that have not ended, for the report of a stop at once. */
  openRequestIds(): string[] {
    return this.router.openCalls.map(
      (call) => `${call.requestId} (${call.state})`,
    );
  }

  /**
   * Stops gracefully: readiness falls, ownership is handed over, and the
   * requests in flight end whole.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {settings, ownership, logger} = this.parts;
    logger.info('stopping: not ready from now on');
    await sleep(settings.entry.stopNoticeMs);
    const wasHandedOver = await ownership.handOver().catch(() => false);
    logger.info({wasHandedOver}, 'stopping: ownership handed over');
    this.isClosed = true;
    while (this.openRequests > 0 || this.desk.inFlight > 0) {
      await sleep(IDLE_CHECK_MS);
    }
    await this.http.close();
    this.end();
  }

  /** Closes everything at once; requests in flight are cut off. */
  destroy(): void {
    this.http.destroy();
    void this.http.close();
    this.end();
  }

  private end(): void {
    this.router.stop();
    this.peers.stop();
    this.fleet.stop();
  }

  private createFleet(): TargetFleet {
    const {inventory, ownership, configuration, clock} = this.parts;
    return new TargetFleet({
      inventory,
      ownership,
      configuration,
      clock,
      createClient: (vm) =>
        new HttpTargetClient({origin: originOf(vm.host, vm.port), clock}),
      onChange: () => this.pumpLater(),
      onFenced: () => void ownership.noteFenced(),
    });
  }

  private createPeers(): PeerSlotClient {
    const {settings, network, ownership, clock, random} = this.parts;
    const origins = new Map(
      settings.members
        .filter(({dataCentre}) => dataCentre === settings.dataCentre)
        .map(({member, host, entryHttpPort}) => [
          member,
          originOf(host, entryHttpPort),
        ]),
    );
    return new PeerSlotClient({
      network,
      ownership,
      ownersOf: (service) => this.fleet.ownersOf(service),
      origins,
      clock,
      random,
      onChange: () => this.pumpLater(),
    });
  }

  private createRouter(): ServiceRouter {
    const {admission, clock, settings} = this.parts;
    return new ServiceRouter({
      admission,
      routingOf: (service) => this.routingOf(service),
      fleet: this.fleet,
      peers: this.peers,
      clock,
      decisions: this.decisions,
      maxAttempts: settings.entry.maxAttempts,
    });
  }

  private routingOf(service: string): RoutingPolicy {
    let routing = this.routings.get(service);
    if (!routing) {
      routing = this.parts.createRouting();
      this.routings.set(service, routing);
    }
    return routing;
  }

  /** Runs after the change that was reported has been applied. */
  private pumpLater(): void {
    if (this.isPumpDue) return;
    this.isPumpDue = true;
    queueMicrotask(() => {
      this.isPumpDue = false;
      this.router.pumpAll();
    });
  }

  private mount(app: App<Request, Response>): void {
    const {configuration, keyedCalls, clock, settings} = this.parts;
    const route = new ServiceRoute({
      configuration,
      router: this.router,
      keyedCalls,
      metrics: this.metrics,
      clock,
      limits: settings.entry.limits,
      refusal: () => this.refusal(),
    });
    const serve = (request: Request, response: Response): Promise<void> =>
      this.counted(response, () => route.handle(request, response));
    app.all('/v1/services/:service', serve);
    app.all('/v1/services/:service/*', serve);
    app.all(`${RESERVED_PATH}*`, (request, response) =>
      this.desk.handle(request, response),
    );
    app.get('/healthz', (_request, response) => plain(response, 200, 'ok\n'));
    app.get('/readyz', (_request, response) => {
      const reason = this.isStopping ? 'stopping' : this.refusal()?.text;
      plain(response, reason ? 503 : 200, `${reason ?? 'ready'}\n`);
    });
    app.get('/metrics', (_request, response) =>
      plain(response, 200, this.metrics.text()),
    );
    for (const mount of this.parts.routes ?? []) mount(app);
  }

  /** Counts a request until its answer has left or its connection closed. */
  private async counted(
    response: Response,
    serve: () => Promise<void>,
  ): Promise<void> {
    this.openRequests += 1;
    // Callers leave an entry that stops before it closes their connections.
    if (this.isStopping) response.setHeader('connection', 'close');
    const closed = new Promise<void>((resolve) =>
      response.once('close', () => resolve()),
    );
    await serve();
    await closed;
    this.openRequests -= 1;
  }

  private gauges(): Record<string, number> {
    const free = Object.values(this.fleet.freeSlots());
    return {
      waiting_requests: this.parts.admission.waitingCount(),
      open_requests: this.openRequests,
      owned_targets: this.fleet.states().length,
      free_slots: free.reduce((sum, count) => sum + count, 0),
      configuration_revision: this.parts.configuration.revision,
      resident_bytes: process.memoryUsage.rss(),
    };
  }
}

function originOf(host: string, port: number): string {
  const isIpv6 = host.includes(':');
  return isIpv6 ? `http://[${host}]:${port}` : `http://${host}:${port}`;
}

function plain(response: Response, status: number, text: string): void {
  response.writeHead(status, {'content-type': 'text/plain; version=0.0.4'});
  response.end(text);
}
