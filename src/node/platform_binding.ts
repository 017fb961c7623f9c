import {RequestListener} from 'node:http';

import {JobDoor} from '../door/job_door.js';
import {AdvicePort} from '../orchestrator/workers/advice_port.js';
import {WorkerPort} from '../orchestrator/workers/worker_port.js';
import {MetadataStore} from '../store/metadata_store.js';
import {Configuration} from '../work/configuration.js';
import {WorkerRegistration} from '../work/worker_registration.js';
import {JobGateway} from './job_gateway.js';

/** Services, store keys and codecs of the platform that a node runs on. */
export interface PlatformBinding {
  store: MetadataStore;
  /** Sends commands to workers. */
  workers: WorkerPort;
  /** Decides which workers may run the steps of queues that need advice. */
  advice: AdvicePort;
  /** Store prefix of the keys that operators write. */
  operatorPrefix: string;
  /** Key of the current configuration. */
  configurationKey: string;
  /**
   * Store prefix of requests to evacuate a data centre, below
   * {@link operatorPrefix}; followed by its name.
   */
  evacuationPrefix: string;
  /** Store prefix of worker registrations; followed by the worker's id. */
  workerPrefix: string;
  /** Path of the load balancer's readiness probe. */
  readinessPath: string;
  /** Decodes the configuration; throws if it is not valid. */
  decodeConfiguration(value: Buffer): Configuration;
  /** Decodes a worker registration; throws if it is not valid. */
  decodeWorker(id: string, value: Buffer): WorkerRegistration;
  /** Creates the handler of the job API's HTTP requests. */
  createJobRequestHandler(gateway: JobGateway, door: JobDoor): RequestListener;
  /** Closes all connections. */
  close(): Promise<void>;
}
