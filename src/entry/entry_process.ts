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
import {EntryHttpServer} from './entry_http_server.js';
import {EntryMetrics} from './entry_metrics.js';
import {EntryOwnership} from './entry_ownership.js';
import {EntrySettings} from './entry_settings.js';
import {KeyedCallRunner} from './keyed_call_runner.js';
import {PeerSlotClient, RESERVED_PATH} from './peer_slot_client.js';
import {ReservationServer} from './reservation_server.js';
import {ServiceRoute} from './service_route.js';
import {ServiceRouter} from './service_router.js';

/** Adds routes to the HTTP server. */
export type MountRoutes = (app: App<Request, Response>) => void;

/** Dependencies of {@link EntryProcess}. */
export interface EntryDependencies {
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
  keyedCalls: KeyedCallRunner;
  /** Returns whether the configuration was read. */
  isReady: () => boolean;
  /** Additional routes, such as those of operators and jobs. @default none */
  routes?: readonly MountRoutes[];
}

/** Interval in ms at which a stopping process checks for open requests. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** Entry process: accepts requests of callers and forwards them to targets. */
export class EntryProcess {
  readonly decisions: DecisionLog;
  readonly fleet: TargetFleet;
  readonly peers: PeerSlotClient;
  private readonly router: ServiceRouter;
  private readonly reservationServer: ReservationServer;
  private readonly metrics: EntryMetrics;
  private readonly httpServer: EntryHttpServer;
  private readonly routingPolicies = new Map<string, RoutingPolicy>();
  private isStopping = false;
  private isRefusing = false;
  private isDispatchScheduled = false;
  /** Number of requests whose response has not ended. */
  private openRequests = 0;

  constructor(private readonly dependencies: EntryDependencies) {
    this.decisions = new DecisionLog(dependencies.logger);
    this.fleet = this.createFleet();
    this.peers = this.createPeers();
    this.router = this.createRouter();
    this.reservationServer = new ReservationServer({
      network: dependencies.network,
      fleet: this.fleet,
      routingOf: (service) => this.routingOf(service),
      waitingCount: (service) => dependencies.admission.waitingCount(service),
    });
    this.metrics = new EntryMetrics(() => this.gauges());
    this.httpServer = new EntryHttpServer({
      limits: dependencies.settings.entry.limits,
      mount: (app) => this.mount(app),
    });
  }

  /** Starts accepting requests; returns the port. */
  listen(host: string, port: number): Promise<number> {
    return this.httpServer.listen(host, port);
  }

  /**
   * Returns why requests are refused now, or undefined if they are accepted.
   */
  refusal(): {code: ResultCode; text: string} | undefined {
    if (this.isRefusing) {
      return {
        code: ResultCodes.STOPPING,
        text: 'Cannot accept request: the entry is shutting down',
      };
    }
    if (this.dependencies.isReady()) return undefined;
    return {
      code: ResultCodes.NOT_READY,
      text: 'Cannot accept request: no configuration has been read yet',
    };
  }

  /** Returns the open requests, for the report of an immediate exit. */
  openRequestIds(): string[] {
    return this.router.openCalls.map(
      (call) => `${call.requestId} (${call.state})`,
    );
  }

  /**
   * Stops gracefully: reports not ready, hands over ownership, and completes
   * the requests in flight.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {settings, ownership, logger} = this.dependencies;
    logger.info('shutting down: readiness check fails from now on');
    await sleep(settings.entry.stopNoticeMs);
    const wasHandedOver = await ownership.handOver().catch(() => false);
    logger.info({wasHandedOver}, 'shutting down: ownership hand-over finished');
    this.isRefusing = true;
    while (this.openRequests > 0 || this.reservationServer.inFlight > 0) {
      await sleep(DRAIN_POLL_INTERVAL_MS);
    }
    await this.httpServer.close();
    this.stopComponents();
  }

  /** Stops immediately and aborts the requests in flight. */
  destroy(): void {
    this.httpServer.destroy();
    void this.httpServer.close();
    this.stopComponents();
  }

  private stopComponents(): void {
    this.router.stop();
    this.peers.stop();
    this.fleet.stop();
  }

  private createFleet(): TargetFleet {
    const {inventory, ownership, configuration, clock} = this.dependencies;
    return new TargetFleet({
      inventory,
      ownership,
      configuration,
      clock,
      createClient: (vm) =>
        new HttpTargetClient({origin: originOf(vm.host, vm.port), clock}),
      onChange: () => this.scheduleDispatch(),
      onFenced: () => void ownership.reloadAfterFencing(),
    });
  }

  private createPeers(): PeerSlotClient {
    const {settings, network, ownership, clock, random} = this.dependencies;
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
      onChange: () => this.scheduleDispatch(),
    });
  }

  private createRouter(): ServiceRouter {
    const {admission, clock, settings} = this.dependencies;
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
    let routing = this.routingPolicies.get(service);
    if (!routing) {
      routing = this.dependencies.createRouting();
      this.routingPolicies.set(service, routing);
    }
    return routing;
  }

  /** Schedules a dispatch for after the reported change has been applied. */
  private scheduleDispatch(): void {
    if (this.isDispatchScheduled) return;
    this.isDispatchScheduled = true;
    queueMicrotask(() => {
      this.isDispatchScheduled = false;
      this.router.dispatchAll();
    });
  }

  private mount(app: App<Request, Response>): void {
    const {configuration, keyedCalls, clock, settings} = this.dependencies;
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
      this.trackOpenRequest(response, () => route.handle(request, response));
    app.all('/v1/services/:service', serve);
    app.all('/v1/services/:service/*', serve);
    app.all(`${RESERVED_PATH}*`, (request, response) =>
      this.reservationServer.handle(request, response),
    );
    app.get('/healthz', (_request, response) =>
      sendText(response, 200, 'ok\n'),
    );
    app.get('/readyz', (_request, response) => {
      const reason = this.isStopping ? 'stopping' : this.refusal()?.text;
      sendText(response, reason ? 503 : 200, `${reason ?? 'ready'}\n`);
    });
    app.get('/metrics', (_request, response) =>
      sendText(response, 200, this.metrics.text()),
    );
    for (const mount of this.dependencies.routes ?? []) mount(app);
  }

  /**
   * Counts a request until its response has been sent or its connection closed.
   */
  private async trackOpenRequest(
    response: Response,
    serve: () => Promise<void>,
  ): Promise<void> {
    this.openRequests += 1;
    // Makes callers switch to another entry before this one closes connections.
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
      waiting_requests: this.dependencies.admission.waitingCount(),
      open_requests: this.openRequests,
      owned_targets: this.fleet.states().length,
      free_slots: free.reduce((sum, count) => sum + count, 0),
      configuration_revision: this.dependencies.configuration.revision,
      resident_bytes: process.memoryUsage.rss(),
    };
  }
}

function originOf(host: string, port: number): string {
  const isIpv6 = host.includes(':');
  return isIpv6 ? `http://[${host}]:${port}` : `http://${host}:${port}`;
}

function sendText(response: Response, status: number, text: string): void {
  response.writeHead(status, {'content-type': 'text/plain; version=0.0.4'});
  response.end(text);
}
