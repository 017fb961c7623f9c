import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

/** Options of {@link ManagedProcess}. */
export interface ManagedProcessOptions {
  /** Name used in error messages. */
  name: string;
  /** Path of the script that Node.js runs. */
  script: string;
  /** Command-line arguments of the script. */
  arguments: readonly string[];
  /** File to which standard output and standard error are appended. */
  logFile: string;
  /** Additional command-line options of Node.js itself. @default none */
  nodeArguments?: readonly string[];
  /** Limit on open descriptors of the process. @default that of this process */
  descriptorLimit?: number;
}

/** A Node.js child process that can be signalled, stopped and started again. */
export class ManagedProcess {
  private child: ChildProcess | undefined;
  private exited: Promise<number | null> = Promise.resolve(null);

  constructor(private readonly options: ManagedProcessOptions) {}

  /** Name used in error messages. */
  get name(): string {
    return this.options.name;
  }

  /** Process id, or undefined while the process is not running. */
  get pid(): number | undefined {
    return this.child?.pid;
  }

  /** Starts the process, appending its output to the log file. */
  start(): void {
    const {script, logFile, nodeArguments = []} = this.options;
    const {descriptorLimit} = this.options;
    const file = openSync(logFile, 'a');
    const command = [
      process.execPath,
      ...nodeArguments,
      script,
      ...this.options.arguments,
    ];
    const [program, ...rest] =
      descriptorLimit === undefined
        ? command
        : [
            'sh',
            '-c',
            `ulimit -n ${descriptorLimit}; exec "$@"`,
            '-',
            ...command,
          ];
    const child = spawn(program!, rest, {stdio: ['ignore', file, file]});
    closeSync(file);
    this.child = child;
    this.exited = new Promise((resolve) =>
      child.once('exit', (code) => {
        if (this.child === child) this.child = undefined;
        resolve(code);
      }),
    );
  }

  /** Sends a signal; does nothing if the process is not running. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Waits for the process to exit; returns its status, or null if killed. */
  waitForExit(): Promise<number | null> {
    return this.exited;
  }

  /** Sends SIGKILL and waits for the process to exit. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Sends SIGTERM and waits for the process to exit; returns its status. */
  async terminate(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.exited;
  }
}
