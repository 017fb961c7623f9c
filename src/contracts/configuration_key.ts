/** Prefix of all configuration keys of the platform. */
export const CONFIGURATION_PREFIX = 'config/';

const CONTRACT_PREFIX = `${CONFIGURATION_PREFIX}contracts/`;
const STOP_PREFIX = `${CONFIGURATION_PREFIX}stops/`;

/** Contract or planned stop that a configuration key refers to. */
export type ConfigurationSubject =
  {kind: 'contract'; customer: string} | {kind: 'stop'; name: string};

/** Returns the key of a customer's contract. */
export function contractKey(customer: string): string {
  return CONTRACT_PREFIX + customer;
}

/** Returns the key of a planned stop of a VM, target or data centre. */
export function stopKey(name: string): string {
  return STOP_PREFIX + name;
}

/** Parses a key; returns undefined for keys of other kinds. */
export function parseConfigurationKey(
  key: string,
): ConfigurationSubject | undefined {
  if (key.startsWith(CONTRACT_PREFIX)) {
    return {kind: 'contract', customer: key.slice(CONTRACT_PREFIX.length)};
  }
  if (key.startsWith(STOP_PREFIX)) {
    return {kind: 'stop', name: key.slice(STOP_PREFIX.length)};
  }
  return undefined;
}
