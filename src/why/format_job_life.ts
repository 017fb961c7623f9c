import {LifeEntry} from './job_life.js';

/** Formats the life of a job for people, with times in UTC. */
export function formatJobLife(entries: readonly LifeEntry[]): string {
  return entries
    .map(({timeMs, node, event, text}) => {
      const time = new Date(timeMs).toISOString().slice('YYYY-MM-DDT'.length);
      return `${[time, node || '-', event, text].join(' ').trimEnd()}\n`;
    })
    .join('');
}
