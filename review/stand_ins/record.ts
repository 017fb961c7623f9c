import {writeFileSync} from 'node:fs';

const startMs = performance.now();

/** Lines of the record of a case, with the time in s since its start. */
export class Record {
  private readonly lines: string[] = [];
  /** Broken rules, one line each. */
  readonly broken: string[] = [];

  constructor(private readonly file: string) {}

  /** Adds a line. */
  add(text: string): void {
    const seconds = (performance.now() - startMs) / 1000;
    this.lines.push(`${seconds.toFixed(3).padStart(8)} ${text}`);
  }

  /** Adds a line that says how a rule was broken. */
  breakRule(text: string): void {
    this.broken.push(text);
    this.add(`BROKEN ${text}`);
  }

  /** Writes the file. */
  write(): void {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}
