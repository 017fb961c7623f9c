/** Options of {@link sleep}. */
export interface SleepOptions {
  /** Ends the wait when aborted; the promise still resolves. @default none */
  signal?: AbortSignal;
}

/**
 * Waits for `durationMs`.
 *
 * @param durationMs - Time to wait in ms.
 * @returns A promise that resolves when the time has elapsed or the signal is
 *     aborted; it never rejects.
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
