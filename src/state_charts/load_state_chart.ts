import {readFileSync} from 'node:fs';

import {StateChart, StateChartDefinition} from './state_chart.js';

/**
 * Loads a state chart from a JSON file beside the module that uses it.
 *
 * @param file - Name of the file, relative to `moduleUrl`.
 * @param moduleUrl - `import.meta.url` of the module.
 * @throws RangeError if the chart is not valid.
 */
export function loadStateChart<S extends string, E extends string>(
  file: string,
  moduleUrl: string,
): StateChart<S, E> {
  const text = readFileSync(new URL(file, moduleUrl), 'utf8');
  return new StateChart<S, E>(JSON.parse(text) as StateChartDefinition);
}
