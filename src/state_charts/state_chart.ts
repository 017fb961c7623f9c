/** States and the transitions out of them, as loaded from a JSON file. */
export interface StateChartDefinition {
  /** State in which a new instance starts. */
  initial: string;
  /** Transitions by state and event; a state without events is final. */
  states: Record<string, Record<string, string>>;
}

/** Interprets a state chart that a JSON file defines. */
export class StateChart<S extends string, E extends string> {
  readonly initial: S;
  private readonly transitions = new Map<string, Map<string, string>>();

  /**
   * @param definition - States and transitions.
   * @throws RangeError if a transition leads to an undefined state.
   */
  constructor(definition: StateChartDefinition) {
    this.initial = definition.initial as S;
    for (const [state, events] of Object.entries(definition.states)) {
      this.transitions.set(state, new Map(Object.entries(events)));
    }
    this.checkTargets();
  }

  /**
   * Returns the state that follows, or undefined if the event has no effect
   * in `state`.
   */
  next(state: S, event: E): S | undefined {
    return this.transitions.get(state)?.get(event) as S | undefined;
  }

  /** Tells whether no event leads out of `state`. */
  isFinal(state: S): boolean {
    return (this.transitions.get(state)?.size ?? 0) === 0;
  }

  private checkTargets(): void {
    for (const [state, events] of this.transitions) {
      for (const [event, next] of events) {
        if (!this.transitions.has(next)) {
          throw new RangeError(
            `Cannot load state chart: ${state} on ${event} leads to undefined state "${next}"`,
          );
        }
      }
    }
    if (!this.transitions.has(this.initial)) {
      throw new RangeError(
        `Cannot load state chart: undefined initial state "${this.initial}"`,
      );
    }
  }
}
