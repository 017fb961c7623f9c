/** Environment and output streams of the program; replaced in tests. */
export interface ProgramContext {
  /** Environment variables. */
  environment: Readonly<Record<string, string | undefined>>;
  /** Writes to standard output. */
  write(text: string): void;
  /** Writes to standard error. */
  writeError(text: string): void;
}
