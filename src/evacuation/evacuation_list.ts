/** Request of an operator that the workers of a data centre get no new work. */
export interface Evacuation {
  dataCentre: string;
  /** Store revision of the request. */
  revision: number;
  /** Unix time in ms at which this node learned of the request. */
  knownSinceWallMs: number;
}

/** Evacuations that operators have requested, as this node knows them. */
export class EvacuationList {
  private readonly byDataCentre = new Map<string, Evacuation>();

  /** Adds a request, or replaces the one for the same data centre. */
  add(evacuation: Evacuation): void {
    const {dataCentre} = evacuation;
    const known = this.byDataCentre.get(dataCentre);
    const knownSinceWallMs =
      known?.knownSinceWallMs ?? evacuation.knownSinceWallMs;
    this.byDataCentre.set(dataCentre, {...evacuation, knownSinceWallMs});
  }

  /** Removes the request for a data centre. */
  remove(dataCentre: string): void {
    this.byDataCentre.delete(dataCentre);
  }

  /** Names of the evacuated data centres. */
  get dataCentres(): ReadonlySet<string> {
    return new Set(this.byDataCentre.keys());
  }

  /** All requests, in the order in which this node learned of them. */
  get requests(): readonly Evacuation[] {
    return [...this.byDataCentre.values()];
  }
}
