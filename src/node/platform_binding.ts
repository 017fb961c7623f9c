import {RequestListener} from 'node:http';

import {AdvicePort} from '../orchestrator/advice_port.js';
import {WorkerPort} from '../orchestrator/worker_port.js';
import {MetadataStore} from '../store/metadata_store.js';
import {Configuration} from '../work/configuration.js';
import {WorkerRegistration} from '../work/worker_registration.js';
import {JobGateway} from './job_gateway.js';

/** What a node needs from the platform it runs on. */
export interface PlatformBinding {
  store: MetadataStore;
  workers: WorkerPort;
  /** Knows which workers may run the steps of some queues. */
  advice: AdvicePort;
  /** Prefix under which the operators write. */
  operatorPrefix: string;
  /** Key of the newest configuration. */
  configurationKey: string;
  /** Prefix under which workers register, followed by the worker's id. */
  workerPrefix: string;
  /** Path at which the balancer asks whether the node is ready. */
  readinessPath: string;
  /** Decodes the configuration; throws if it is not valid. */
  decodeConfiguration(value: Buffer): Configuration;
  /** Decodes a registration; throws if it names no worker to use. */
  decodeWorker(id: string, value: Buffer): WorkerRegistration;
  /** Creates the handler of callers' requests. */
  createJobRequestHandler(gateway: JobGateway): RequestListener;
  /** Closes all connections. */
  close(): Promise<void>;
}
