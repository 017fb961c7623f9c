import {Contract, contractSchema} from './contract.js';
import {URGENCIES} from './urgency.js';

/** One limit of a customer and its explanation. */
export interface ExplainedLimit {
  key: string;
  value: string;
  /** True if the value equals the default. */
  isDefault: boolean;
  meaning: string;
}

function formatPercent(fraction: number): string {
  return `${Math.round(fraction * 1000) / 10}%`;
}

function explainUrgencies(
  contract: Contract,
  {defaults, livingEntries}: {defaults: Contract; livingEntries: number},
): ExplainedLimit[] {
  return URGENCIES.flatMap((urgency) => {
    const limits = contract.urgencies[urgency];
    const defaultLimits = defaults.urgencies[urgency];
    const maxWaitingPerEntry = Math.ceil(
      limits.maxWaiting / Math.max(1, livingEntries),
    );
    const createLimit = (
      name: keyof typeof limits,
      meaning: string,
    ): ExplainedLimit => ({
      key: `urgencies.${urgency}.${name}`,
      value: String(limits[name]),
      isDefault: limits[name] === defaultLimits[name],
      meaning,
    });
    return [
      createLimit(
        'floor',
        `keeps ${formatPercent(limits.floor)} of the slots during floods`,
      ),
      createLimit(
        'maxWaiting',
        `waiting in a data centre; ${maxWaitingPerEntry} at each of ${livingEntries} entries`,
      ),
      createLimit('timeoutMs', 'deadline in ms of requests that name none'),
    ];
  });
}

/**
 * Lists the limits derived from a contract.
 *
 * @param livingEntries - Number of live entries of the data centre; the limit
 *     on waiting requests is divided among them.
 */
export function explainContract(
  contract: Contract,
  livingEntries: number,
): ExplainedLimit[] {
  const {customer, callers, spill, quota} = contract;
  const defaults = contractSchema.parse({customer, callers});
  const createLimit = (
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
    createLimit(
      'share',
      String(contract.share),
      'weight against other customers',
    ),
    createLimit(
      'vmShare',
      String(contract.vmShare),
      `at most ${formatPercent(contract.vmShare)} of a data centre's worker resources`,
    ),
    createLimit('optimizeFor', contract.optimizeFor, 'what matters most'),
    createLimit(
      'services',
      contract.services.join(', ') || 'none',
      'may be used',
    ),
    {
      key: 'callers',
      value: String(callers.length),
      isDefault: false,
      meaning: 'keys that authenticate',
    },
    ...explainUrgencies(contract, {defaults, livingEntries}),
    createLimit(
      'spill',
      spill.dataCentres.join(', ') || 'none',
      `may serve when the local one is full, up to cost ${spill.maxCost}`,
    ),
    createLimit(
      'quota',
      `${quota.runningTasks} tasks, ${quota.accelerators} accelerators`,
      'at once in a data centre',
    ),
  ];
}
