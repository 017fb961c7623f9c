/** Options of {@link sleep}. */
export interface SleepOptions {
  /** Ends the wait early; the promise then resolves. @default none */
  signal?: AbortSignal;
}

/**
 * Waits for `durationMs`.
 *
 * @param durationMs - Time to wait in ms.
 * @returns A promise that resolves when the time has passed or the signal is
 *     aborted.
 */
export function sleep(
  durationMs: number,
  options: SleepOptions = {},
): Promise<void> {
  const {signal} = options;
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, durationMs);
    signal?.addEventListener('abort', finish, {once: true});
  });
}
