/** Request to the advice service about one step. */
export interface AdviceRequest {
  /** Name of the step, for example "5c0e7a21d94b36f8.0.1". */
  step: string;
  /** Ids of the workers in question. */
  workers: readonly string[];
}

/** Outcome of a request to the advice service. */
export type AdviceOutcome =
  | {
      kind: 'advice';
      /** Tickets of the workers that may run the step, by worker id. */
      tickets: ReadonlyMap<string, string>;
      /** Time in ms for which the tickets are valid. */
      validForMs: number;
    }
  | {kind: 'unknown'; reason: string};

/** Client of the service that decides which workers may run a step. */
export interface AdvicePort {
  /** Sends a request; failures resolve to `unknown` instead of rejecting. */
  query(request: AdviceRequest): Promise<AdviceOutcome>;
}
