import {Configuration} from '../work/configuration.js';
import {ConfigurationFinding, FindingLevel} from './configuration_finding.js';

/**
 * Compares a configuration with the one in force.
 *
 * @returns What would change, and an error if its version is not higher.
 */
export function compareConfigurations(
  configuration: Configuration,
  inForce: Configuration,
): ConfigurationFinding[] {
  return [
    ...compareVersions(configuration, inForce),
    ...compareEntries('queue', configuration.queues, inForce.queues),
    ...compareEntries('service', configuration.services, inForce.services),
    ...compareFields(
      'limits',
      {maxBodyBytes: configuration.maxBodyBytes},
      {maxBodyBytes: inForce.maxBodyBytes},
    ),
  ];
}

function compareVersions(
  {version}: Configuration,
  inForce: Configuration,
): ConfigurationFinding[] {
  if (version > inForce.version) return [];
  const text = `${version} is not above ${inForce.version}, which is in force; nodes would ignore it`;
  return [{level: FindingLevel.ERROR, place: 'version', text}];
}

function compareEntries<T extends {name: string}>(
  kind: string,
  entries: readonly T[],
  inForce: readonly T[],
): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const earlierByName = new Map(inForce.map((entry) => [entry.name, entry]));
  const names = new Set(entries.map(({name}) => name));
  for (const entry of entries) {
    const place = `${kind} ${entry.name}`;
    const earlier = earlierByName.get(entry.name);
    if (earlier) findings.push(...compareFields(place, entry, earlier));
    else findings.push(change(place, 'is added'));
  }
  for (const {name} of inForce) {
    if (names.has(name)) continue;
    findings.push(change(`${kind} ${name}`, 'is removed'));
  }
  return findings;
}

function compareFields(
  place: string,
  entry: object,
  earlier: object,
): ConfigurationFinding[] {
  const earlierFields = new Map<string, unknown>(Object.entries(earlier));
  return Object.entries(entry)
    .filter(([key, value]) => earlierFields.get(key) !== value)
    .map(([key, value]) => {
      const from = JSON.stringify(earlierFields.get(key));
      return change(place, `${key}: ${from} -> ${JSON.stringify(value)}`);
    });
}

function change(place: string, text: string): ConfigurationFinding {
  return {level: FindingLevel.CHANGE, place, text};
}
