import {Logger, pino, stdTimeFunctions} from 'pino';

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Least severe level that is written. @default 'info' */
  level?: string;
  /** File descriptor that receives the lines. @default 1 (standard output) */
  fileDescriptor?: number;
  /** Fields that each line carries. @default {} */
  fields?: Record<string, unknown>;
}

/**
 * Creates a logger that writes JSON lines and leaves out secrets.
 *
 * @param program - Name of the program, written with each line.
 * @returns The logger.
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
    pino.destination({dest: options.fileDescriptor ?? 1, sync: false}),
  );
}
