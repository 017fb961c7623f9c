import {RequestListener, ServerResponse} from 'node:http';

import {Clock} from '../clock/clock.js';
import {DoorServer, DoorServerOptions} from '../door/door_server.js';
import {JobDoor} from '../door/job_door.js';
import {RefusalLog} from '../door/refusal_log.js';
import {EvacuatedDataCentre} from '../evacuation/evacuations_response.js';
import {NodeLog} from '../logging/node_log.js';
import {JobGateway} from './job_gateway.js';
import {createMetricsListener} from './metrics_listener.js';
import {NodeMetrics} from './node_metrics.js';
import {NodeSettings, splitAddress} from './node_settings.js';
import {PlatformBinding} from './platform_binding.js';

/** HTTP servers of a node. */
export interface NodeServers {
  /** Job API. */
  callers: DoorServer;
  /** Probe of the load balancer. */
  readiness: DoorServer;
  /** Metrics and explanations for operators. */
  metrics: DoorServer;
}

/** Options of {@link createNodeServers}. */
export interface NodeServersOptions {
  settings: NodeSettings;
  clock: Clock;
  log: NodeLog;
  platform: PlatformBinding;
  gateway: JobGateway;
  metrics: NodeMetrics;
  /** Returns whether the node is ready for requests. */
  isReady: () => boolean;
  /** Returns the evacuated data centres. */
  listEvacuations: () => EvacuatedDataCentre[];
  /** Returns the name of the owner of the partition, if it is known. */
  ownerName: () => string | undefined;
}

/** Part of the connections of callers that other listeners may have. */
const INTERNAL_CONNECTIONS_SHARE = 0.1;

/** Creates the HTTP servers of a node, each behind a door of its own. */
export function createNodeServers(options: NodeServersOptions): NodeServers {
  const {settings, metrics, gateway} = options;
  const mostConnections = Math.ceil(
    settings.door.mostConnections * INTERNAL_CONNECTIONS_SHARE,
  );
  return {
    callers: createCallersServer(options),
    readiness: new DoorServer({
      ...createDoorOptions('readiness', options),
      mostConnections,
      address: splitAddress(settings.readiness),
      listener: createReadinessListener(options),
    }),
    metrics: new DoorServer({
      ...createDoorOptions('metrics', options),
      mostConnections,
      address: splitAddress(settings.metrics),
      listener: createMetricsListener({
        metrics,
        gateway,
        node: settings.node,
        evacuations: options.listEvacuations,
        ownerName: options.ownerName,
      }),
    }),
  };
}

function createCallersServer(options: NodeServersOptions): DoorServer {
  const {settings, platform, gateway} = options;
  const common = createDoorOptions('callers', options);
  const door = new JobDoor(common);
  const handler = platform.createJobRequestHandler(gateway, door);
  return new DoorServer({
    ...common,
    address: splitAddress(settings.callers),
    listener: (request, response) => {
      recordRequest(request.method ?? '', response, options);
      handler(request, response);
    },
  });
}

function createDoorOptions(
  listener: string,
  {clock, log, settings, metrics}: NodeServersOptions,
): Pick<DoorServerOptions, 'clock' | 'limits' | 'recordRefusal'> {
  const refusals = new RefusalLog({
    clock,
    log,
    listener,
    increment: (series) => metrics.increment(series),
  });
  return {
    clock,
    limits: settings.door,
    recordRefusal: (reason) => refusals.record(reason),
  };
}

function createReadinessListener({
  platform,
  isReady,
}: NodeServersOptions): RequestListener {
  return (request, response) => {
    const isKnownPath = request.url === platform.readinessPath;
    response.statusCode = isKnownPath ? (isReady() ? 200 : 503) : 404;
    response.end();
  };
}

function recordRequest(
  method: string,
  response: ServerResponse,
  {clock, metrics}: NodeServersOptions,
): void {
  const startMs = clock.nowMs();
  response.once('close', () => {
    const status = response.writableFinished ? response.statusCode : 0;
    metrics.increment(`requests_total{method="${method}",status="${status}"}`);
    metrics.recordLatency('request', clock.nowMs() - startMs);
  });
}
