import {Logger, pino, stdTimeFunctions} from 'pino';

import {createBufferedDestination} from './buffered_destination.js';

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Minimum level that is written. @default 'info' */
  level?: string;
  /** File descriptor to write to. @default 1 (standard output) */
  fileDescriptor?: number;
  /** Additional fields of each line. @default {} */
  fields?: Record<string, unknown>;
}

/**
 * Creates a logger that writes JSON lines and redacts tokens and keys.
 *
 * @param program - Name of the program, added to each line.
 */
export function createLogger(
  program: string,
  options: LoggerOptions = {},
): Logger {
  return pino(
    {
      level: options.level ?? 'info',
      base: {program, ...options.fields},
      timestamp: stdTimeFunctions.isoTime,
      redact: ['authorization', 'token', '*.authorization', '*.token', '*.key'],
    },
    createBufferedDestination(options.fileDescriptor ?? 1),
  );
}
