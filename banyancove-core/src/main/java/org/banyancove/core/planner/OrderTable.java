package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.VmId;
import org.jspecify.annotations.Nullable;

/**
 * The engines of the data center with the state last read back from each and their next
 * command. Used by one thread.
 */
final class OrderTable {

	private final Duration interval;

	private final Map<VmId, Engine> engines = new LinkedHashMap<>();

	OrderTable(Duration interval) {
		this.interval = interval;
	}

	void retain(Set<VmId> vms) {
		this.engines.keySet().retainAll(vms);
		vms.forEach((vm) -> this.engines.computeIfAbsent(vm, (_) -> new Engine()));
	}

	void updateState(VmId vm, EngineState state) {
		Engine engine = this.engines.get(vm);
		if (engine != null) {
			engine.state = state;
		}
	}

	void clear() {
		this.engines.clear();
	}

	int countMatching(EngineState desiredState) {
		return (int) this.engines.values().stream().filter((engine) -> desiredState.equals(engine.state)).count();
	}

	// Reads each engine's state back, also one that matched: an order of a planner that
	// was paused may have changed it since. An order is sent only after a read.
	void tick(Instant now, long fence, EngineState desiredState, LoadRateLimiter limiter, PlannerPort port) {
		this.engines.forEach((vm, engine) -> {
			if (now.isBefore(engine.notBefore)) {
				return;
			}
			engine.notBefore = now.plus(this.interval);
			EngineState state = engine.state;
			if (state != null && !state.equals(desiredState)) {
				if (!limiter.tryAcquire(desiredState.loadsFrom(state), now)) {
					engine.notBefore = now;
					return;
				}
				engine.state = null;
				port.order(vm, fence, desiredState);
			}
			else {
				port.readBack(vm);
			}
		});
	}

	/** An engine with the state last read back. */
	private static final class Engine {

		private @Nullable EngineState state;

		private Instant notBefore = Instant.MIN;

	}

}
