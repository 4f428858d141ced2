package org.banyancove.core.planner;

import java.util.Set;

/**
 * The desired or actual state of an engine. Orders contain the complete state rather than
 * a change, which makes them idempotent.
 *
 * @param models the loaded models with their versions
 * @param adapters the loaded adapters
 * @param role the engine's role
 */
public record EngineState(Set<String> models, Set<String> adapters, String role) {

	/**
	 * Creates the state with immutable copies.
	 */
	public EngineState {
		models = Set.copyOf(models);
		adapters = Set.copyOf(adapters);
	}

	/**
	 * Returns the number of weight loads that an engine needs to reach this state.
	 * @param from the engine's current state
	 * @return the number of models and adapters that it has not loaded
	 */
	public int loadsFrom(EngineState from) {
		return countMissing(this.models, from.models) + countMissing(this.adapters, from.adapters);
	}

	private static int countMissing(Set<String> required, Set<String> loaded) {
		return (int) required.stream().filter((name) -> !loaded.contains(name)).count();
	}

}
