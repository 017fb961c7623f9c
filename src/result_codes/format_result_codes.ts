import {ResultCodes} from './result_code.js';

/** Formats all result codes as a Markdown table, sorted by number. */
export function formatResultCodes(): string {
  const header = [
    '| number | name | outcome | HTTP status | exit status | meaning |',
    '| --- | --- | --- | --- | --- | --- |',
  ];
  const rows = Object.values(ResultCodes)
    .sort((a, b) => a.number - b.number)
    .map((code) => {
      const {number, name, outcome, httpStatus, exitStatus, meaning} = code;
      return `| ${number} | ${name} | ${outcome} | ${httpStatus} | ${exitStatus} | ${meaning} |`;
    });
  return `${[...header, ...rows].join('\n')}\n`;
}
