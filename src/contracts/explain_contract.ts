import {Contract, contractSchema} from './contract.js';
import {URGENCIES} from './urgency.js';

/** One limit of a customer and what it means. */
export interface ExplainedLimit {
  key: string;
  value: string;
  /** True if the value equals the default. */
  isDefault: boolean;
  meaning: string;
}

function percent(fraction: number): string {
  return `${Math.round(fraction * 1000) / 10}%`;
}

function explainUrgencies(
  contract: Contract,
  {defaults, livingEntries}: {defaults: Contract; livingEntries: number},
): ExplainedLimit[] {
  return URGENCIES.flatMap((urgency) => {
    const given = contract.urgencies[urgency];
    const standard = defaults.urgencies[urgency];
    const share = Math.ceil(given.maxWaiting / Math.max(1, livingEntries));
    const row = (
      name: keyof typeof given,
      meaning: string,
    ): ExplainedLimit => ({
      key: `urgencies.${urgency}.${name}`,
      value: String(given[name]),
      isDefault: given[name] === standard[name],
      meaning,
    });
    return [
      row('floor', `keeps ${percent(given.floor)} of the slots during floods`),
      row(
        'maxWaiting',
        `waiting in a data centre; ${share} at each of ${livingEntries} entries`,
      ),
      row('timeoutMs', 'deadline in ms of requests that name none'),
    ];
  });
}

/**
 * Lists the limits that follow from a contract.
 *
 * @param livingEntries - Living entries of the data centre, which divide the
 *     limit on waiting requests among them.
 */
export function explainContract(
  contract: Contract,
  livingEntries: number,
): ExplainedLimit[] {
  const {customer, callers, spill, quota} = contract;
  const defaults = contractSchema.parse({customer, callers});
  const row = (
    key: keyof Contract,
    value: string,
    meaning: string,
  ): ExplainedLimit => ({
    key,
    value,
    isDefault: JSON.stringify(contract[key]) === JSON.stringify(defaults[key]),
    meaning,
  });
  return [
    row('share', String(contract.share), 'weight against other customers'),
    row(
      'vmShare',
      String(contract.vmShare),
      `at most ${percent(contract.vmShare)} of a data centre's worker resources`,
    ),
    row('optimizeFor', contract.optimizeFor, 'what matters most'),
    row('services', contract.services.join(', ') || 'none', 'may be used'),
    row('callers', String(callers.length), 'keys that authenticate'),
    ...explainUrgencies(contract, {defaults, livingEntries}),
    row(
      'spill',
      spill.dataCentres.join(', ') || 'none',
      `may serve when the local one is full, up to cost ${spill.maxCost}`,
    ),
    row(
      'quota',
      `${quota.runningTasks} tasks, ${quota.accelerators} accelerators`,
      'at once in a data centre',
    ),
  ];
}
