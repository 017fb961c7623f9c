import {DestinationStream, pino} from 'pino';

/**
 * Longest time in ms for which a line is kept before it is written. A process
 * that is killed loses the lines of that time.
 */
const FLUSH_DELAY_MS = 100;

/** Bytes from which lines are written at once. */
const BUFFER_BYTES = 8192;

/**
 * Creates a destination that writes lines in batches: one write a line costs
 * more processor time than to format it. Nothing runs while there are no lines.
 */
export function createBufferedDestination(
  fileDescriptor: number,
): DestinationStream {
  // On an exit of the process, pino writes what is left.
  const destination = pino.destination({
    dest: fileDescriptor,
    sync: false,
    minLength: BUFFER_BYTES,
  });
  let timer: NodeJS.Timeout | undefined;
  const flush = (): void => {
    timer = undefined;
    destination.flush();
  };
  return {
    write: (line) => {
      destination.write(line);
      timer ??= setTimeout(flush, FLUSH_DELAY_MS).unref();
    },
  };
}
