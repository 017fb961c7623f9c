import {ConfigurationDelta} from './configuration_delta.js';

/** Another process of the installation, as configuration propagation sees it. */
export interface ConfigurationPeer {
  /** Name of the member. */
  readonly member: string;
  readonly dataCentre: string;
  /**
   * Asks for the changes after a revision.
   *
   * @throws Error if the peer cannot be reached in time.
   */
  fetchDelta(revision: number): Promise<ConfigurationDelta>;
}
