import {Resources} from '../src/workers/resources.js';

/** One data centre of a {@link Fleet}. */
export interface FleetDataCentre {
  name: string;
  /** Number of entry VMs; each runs an entry and a scheduler process. */
  entryVms: number;
  /** Number of targets. */
  targets: number;
  /** Number of racks. */
  racks: number;
  /** Number of workers in each rack. */
  workersPerRack: number;
}

/** Options of {@link Fleet}. */
export interface FleetOptions {
  dataCentres: readonly FleetDataCentre[];
  /** Directory for settings files and logs. */
  folder: string;
  /** Service that all targets provide. @default 'portal' */
  service?: string;
  /** Number of targets in each shard, the unit of ownership. @default 2 */
  targetsPerShard?: number;
  /** Resources of each worker. @default 32 cores, 125 GB, 1 accelerator */
  workerCapacity?: Resources;
  /**
   * Clock speeds relative to real time, assigned to the workers round-robin.
   *
   * @default [1]
   */
  clockRates?: readonly number[];
  /** Time in ms that a target takes to process a request. @default 5 */
  targetWorkMs?: number;
  /** Delay in ms until a change of the VM list becomes visible. @default 500 */
  vmListLagMs?: number;
  /** Seed of the random faults. @default 1 */
  seed?: number;
  /** Connects all processes through faulty links. @default false */
  withFaultyLinks?: boolean;
  /** Also starts the scheduler processes. @default true */
  withSchedulers?: boolean;
  /** Additional settings of the entries. @default {} */
  entrySettings?: Record<string, unknown>;
  /** Additional settings of the schedulers. @default {} */
  schedulerSettings?: Record<string, unknown>;
}

/** An entry VM of a {@link Fleet} with the ports of its processes. */
export interface FleetMember {
  member: string;
  dataCentre: string;
  entryHttpPort: number;
  entryLinkPort: number;
  schedulerLinkPort: number;
}
