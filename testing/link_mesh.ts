import {FaultyLink, LinkFaults} from './faulty_link.js';

/** Set of faulty links, addressed by the names of their endpoints. */
export class LinkMesh {
  private readonly links = new Map<string, FaultyLink[]>();

  constructor(private readonly seed: number) {}

  /**
   * Adds a link between two endpoints and starts to listen.
   *
   * @returns The port to connect to instead of `targetPort`.
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

  /** Replaces the faults of the links from `from` to `to`; '*' matches any. */
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
