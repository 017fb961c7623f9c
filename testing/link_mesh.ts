import {FaultyLink, LinkFaults} from './faulty_link.js';

/** Faulty links by the names of their ends. */
export class LinkMesh {
  private readonly links = new Map<string, FaultyLink[]>();

  constructor(private readonly seed: number) {}

  /**
   * Adds a link.
   *
   * @returns The port to dial instead of `targetPort`.
   */
  async add(
    endpoints: {from: string; to: string},
    targetPort: number,
  ): Promise<number> {
    const link = new FaultyLink({
      targetPort,
      seed: this.seed + this.links.size,
    });
    const key = `${endpoints.from}>${endpoints.to}`;
    this.links.set(key, [...(this.links.get(key) ?? []), link]);
    return link.listen();
  }

  /** Applies faults to all links from `from` to `to`; '*' matches any end. */
  setFaults(endpoints: {from: string; to: string}, faults: LinkFaults): void {
    for (const [key, links] of this.links) {
      const [from, to] = key.split('>');
      const isMatch =
        (endpoints.from === '*' || endpoints.from === from) &&
        (endpoints.to === '*' || endpoints.to === to);
      if (isMatch) for (const link of links) link.setFaults(faults);
    }
  }

  /** Closes all links. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.links.values()].flat().map((link) => link.stop()),
    );
  }
}
