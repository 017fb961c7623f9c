import {ConfigurationView} from '../contracts/configuration_view.js';
import {CustomerLimits} from './customer_limits.js';

/**
 * Returns the limits of a customer on one shard: those of its contract apply to
 * a data centre, and each shard gets an equal part. Once the contract is deleted
 * they hold on for the jobs that were accepted under it.
 *
 * @param shards - Number of shards of the data centre.
 * @returns Undefined for a customer that never had a contract.
 */
export function contractLimits(
  configuration: Pick<ConfigurationView, 'latestContract'>,
  customer: string,
  shards: number,
): CustomerLimits | undefined {
  const contract = configuration.latestContract(customer);
  if (!contract) return undefined;
  const {vmShare, quota, urgencies} = contract;
  const partOf = (limit: number): number =>
    Math.ceil(limit / Math.max(1, shards));
  return {
    vmShare,
    runningTasks: partOf(quota.runningTasks),
    accelerators: partOf(quota.accelerators),
    maxWaiting: {
      urgent: partOf(urgencies.urgent.maxWaiting),
      standard: partOf(urgencies.standard.maxWaiting),
      batch: partOf(urgencies.batch.maxWaiting),
    },
  };
}
