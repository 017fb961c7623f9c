import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** Options of {@link ManagedProcess}. */
export interface ManagedProcessOptions {
  /** Name for messages. */
  name: string;
  /** Script below the build folder. */
  script: string;
  arguments: readonly string[];
  /** File that receives standard output and standard error. */
  logFile: string;
  /** Further arguments of Node.js itself. @default none */
  nodeArguments?: readonly string[];
}

/** A process that the driver started and ends by its id. */
export class ManagedProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);

  constructor(private readonly options: ManagedProcessOptions) {}

  /** Name given by the options. */
  get name(): string {
    return this.options.name;
  }

  /** Process id while it runs. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Starts the process; output is appended to the log file. */
  start(): void {
    const {script, logFile, nodeArguments = []} = this.options;
    const file = openSync(logFile, 'a');
    const child = spawn(
      process.execPath,
      [...nodeArguments, script, ...this.options.arguments],
      {stdio: ['ignore', file, file]},
    );
    closeSync(file);
    this.child = child;
    this.exited = new Promise((resolve) =>
      child.once('exit', (code) => {
        if (this.child === child) this.child = undefined;
        resolve(code);
      }),
    );
  }

  /** Sends a signal if the process runs. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the end of the process; its exit status, or null if killed. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Asks the process to stop; its exit status. */
  async terminate(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.exited;
  }
}
