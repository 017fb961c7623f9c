import {Configuration, Queue} from '../work/configuration.js';
import {ConfigurationFinding, FindingLevel} from './configuration_finding.js';

/** Time in ms that a node keeps of a call's time limit for the response. */
const RESPONSE_MARGIN_MS = 300;

/** Size in bytes of the smallest job that a caller can submit. */
const SMALLEST_JOB_BYTES = 40;

/**
 * Finds errors, entries that never match and limits that contradict each other.
 */
export function findConfigurationIssues(
  configuration: Configuration,
): ConfigurationFinding[] {
  return [
    ...findDuplicates(configuration),
    ...configuration.queues.flatMap((queue) =>
      findQueueIssues(queue, configuration),
    ),
    ...findUnusedServices(configuration),
    ...findBodyLimitIssues(configuration),
  ];
}

function findDuplicates({
  queues,
  services,
}: Configuration): ConfigurationFinding[] {
  const findings: ConfigurationFinding[] = [];
  const named = [
    ...queues.map(({name}) => `queue ${name}`),
    ...services.map(({name}) => `service ${name}`),
  ];
  const seen = new Set<string>();
  for (const place of named) {
    if (seen.has(place)) findings.push(error(place, 'is listed twice'));
    seen.add(place);
  }
  return findings;
}

function findQueueIssues(
  queue: Queue,
  configuration: Configuration,
): ConfigurationFinding[] {
  const place = `queue ${queue.name}`;
  const {services} = configuration;
  const findings: ConfigurationFinding[] = [];
  if (!services.some(({name}) => name === queue.service)) {
    findings.push(error(place, `service "${queue.service}" is not listed`));
  }
  if (!(queue.maxAttempts >= 1)) {
    findings.push(error(place, `no attempt is allowed: ${queue.maxAttempts}`));
  }
  if (queue.stretch < 0 || queue.targetLatencyMs < 0) {
    findings.push(error(place, 'its objective is negative'));
  }
  return [
    ...findings,
    ...findMatchIssues(queue, configuration),
    ...findContradictions(queue),
  ];
}

function findMatchIssues(
  queue: Queue,
  {queues}: Configuration,
): ConfigurationFinding[] {
  const place = `queue ${queue.name}`;
  const findings: ConfigurationFinding[] = [];
  if (!queue.prefix.startsWith('/')) {
    const text = `never matches: no path begins with "${queue.prefix}"`;
    findings.push(warning(place, text));
  }
  if (queue.prefix.includes('?') || queue.prefix.includes('#')) {
    const text = 'never matches: its prefix contains a query or a fragment';
    findings.push(warning(place, text));
  }
  if (queue.host === '' || /[:/\s]/.test(queue.host)) {
    const text = `never matches: "${queue.host}" is no host name`;
    findings.push(warning(place, text));
  }
  const earlier = queues
    .slice(0, queues.indexOf(queue))
    .find(({host, prefix}) => host === queue.host && prefix === queue.prefix);
  if (earlier) {
    const text = `never matches: queue ${earlier.name} has the same host and prefix`;
    findings.push(warning(place, text));
  }
  return findings;
}

function findContradictions(queue: Queue): ConfigurationFinding[] {
  const place = `queue ${queue.name}`;
  const findings: ConfigurationFinding[] = [];
  if (queue.timeoutMs <= RESPONSE_MARGIN_MS) {
    const text = `its time limit of ${queue.timeoutMs} ms leaves none to store a job: ${RESPONSE_MARGIN_MS} ms are kept for the response`;
    findings.push(warning(place, text));
  }
  if (queue.stretch < 1 && queue.targetLatencyMs === 0) {
    const text = `its objective, ${queue.stretch} times the work of a job, is shorter than the work`;
    findings.push(warning(place, text));
  }
  return findings;
}

function findUnusedServices({
  queues,
  services,
}: Configuration): ConfigurationFinding[] {
  return services
    .filter(({name}) => !queues.some(({service}) => service === name))
    .map(({name}) => warning(`service ${name}`, 'is used by no queue'));
}

function findBodyLimitIssues({
  maxBodyBytes,
}: Configuration): ConfigurationFinding[] {
  if (maxBodyBytes >= SMALLEST_JOB_BYTES) return [];
  const text = `no job fits: ${maxBodyBytes} bytes are allowed, the smallest takes ${SMALLEST_JOB_BYTES}`;
  return [error('limits', text)];
}

function error(place: string, text: string): ConfigurationFinding {
  return {level: FindingLevel.ERROR, place, text};
}

function warning(place: string, text: string): ConfigurationFinding {
  return {level: FindingLevel.WARNING, place, text};
}
