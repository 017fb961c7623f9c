import {ConfigurationDelta} from './configuration_delta.js';

/** Another process of the installation that provides configuration changes. */
export interface ConfigurationPeer {
  /** Name of the member. */
  readonly member: string;
  readonly dataCentre: string;
  /**
   * Requests the changes after a revision.
   *
   * @throws Error if the peer does not respond in time.
   */
  fetchDelta(revision: number): Promise<ConfigurationDelta>;
}
