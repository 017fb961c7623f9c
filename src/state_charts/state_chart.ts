/** States and the transitions out of them, as loaded from a JSON file. */
export interface StateChartDefinition {
  /** Initial state. */
  initial: string;
  /** Next state by state and event; a state without events is final. */
  states: Record<string, Record<string, string>>;
}

/**
 * State machine over states `S` and events `E`. Holds no current state; callers
 * pass it to {@link next}.
 */
export class StateChart<S extends string, E extends string> {
  readonly initial: S;
  private readonly transitions = new Map<string, Map<string, string>>();

  /**
   * @param definition - States and transitions.
   * @throws RangeError if the initial state or the target of a transition is
   *     not defined.
   */
  constructor(definition: StateChartDefinition) {
    this.initial = definition.initial as S;
    for (const [state, events] of Object.entries(definition.states)) {
      this.transitions.set(state, new Map(Object.entries(events)));
    }
    this.checkTargets();
  }

  /**
   * Returns the next state, or undefined if `state` has no transition for the
   * event.
   */
  next(state: S, event: E): S | undefined {
    return this.transitions.get(state)?.get(event) as S | undefined;
  }

  /** Returns whether `state` has no outgoing transitions. */
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
