import {readFileSync} from 'node:fs';

import {StateChart, StateChartDefinition} from './state_chart.js';

/**
 * Loads a state chart from a JSON file next to the module that uses it.
 *
 * @param file - Path of the file, relative to `moduleUrl`.
 * @param moduleUrl - `import.meta.url` of the module.
 * @throws RangeError if a transition or the initial state is not defined.
 */
export function loadStateChart<S extends string, E extends string>(
  file: string,
  moduleUrl: string,
): StateChart<S, E> {
  const text = readFileSync(new URL(file, moduleUrl), 'utf8');
  return new StateChart<S, E>(JSON.parse(text) as StateChartDefinition);
}
