/** A question to the advice service. */
export interface AdviceRequest {
  /** Name of the step, for example "5c0e7a21d94b36f8.0.1". */
  step: string;
  /** Ids of the workers that are asked about. */
  workers: readonly string[];
}

/** Answer of the advice service. */
export type AdviceOutcome =
  | {
      kind: 'advice';
      /** Tickets of the workers that may run the step, by worker id. */
      tickets: ReadonlyMap<string, string>;
      /** Time in ms for which the tickets are valid. */
      validForMs: number;
    }
  | {kind: 'unknown'; reason: string};

/** The service that knows which workers may run a step. Does not reject. */
export interface AdvicePort {
  query(request: AdviceRequest): Promise<AdviceOutcome>;
}
