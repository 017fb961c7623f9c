import {Resources} from '../src/workers/resources.js';

/** One data centre of a {@link Fleet}. */
export interface FleetDataCentre {
  name: string;
  /** Number of entry VMs; each runs an entry and a scheduler. */
  entryVms: number;
  /** Number of targets. */
  targets: number;
  /** Number of racks. */
  racks: number;
  /** Workers in each rack. */
  workersPerRack: number;
}

/** Options of {@link Fleet}. */
export interface FleetOptions {
  dataCentres: readonly FleetDataCentre[];
  /** Folder for settings and logs. */
  folder: string;
  /** Service that all targets serve. @default 'portal' */
  service?: string;
  /** Targets in one unit of ownership. @default 2 */
  targetsPerShard?: number;
  /** Resources of each worker. @default 32 cores, 125 GB, 1 accelerator */
  workerCapacity?: Resources;
  /** Speeds of the workers' clocks, used in turn. @default [1] */
  clockRates?: readonly number[];
  /** Time in ms that a target works on a request. @default 5 */
  targetWorkMs?: number;
  /** Lag of the VM list in ms. @default 500 */
  vmListLagMs?: number;
  /** Seed of all faults. @default 1 */
  seed?: number;
  /** Puts a faulty link between any two parts. @default false */
  withFaultyLinks?: boolean;
  /** Starts the schedulers too. @default true */
  withSchedulers?: boolean;
  /** Further settings of the entries. @default {} */
  entrySettings?: Record<string, unknown>;
  /** Further settings of the schedulers. @default {} */
  schedulerSettings?: Record<string, unknown>;
}

/** An entry VM of a {@link Fleet}. */
export interface FleetMember {
  member: string;
  dataCentre: string;
  entryHttpPort: number;
  entryLinkPort: number;
  schedulerLinkPort: number;
}
