package org.banyancove.core.planner;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Long randomised simulations of the planner. Seed and length are set with
 * {@code -Dplanner.seed=… -Dplanner.steps=… -Dplanner.runs=…}.
 */
class PlannerRandomisedTests {

	private static final int STEPS = 6000;

	// Soon after all faults end, the data center has exactly the planned VMs, which meet
	// the target after the loss of a zone, each engine is in the desired state, and one
	// process plans. Planners fail and are paused with commands in flight, the log and
	// the cloud lose answers, zones refuse starts and are reclaimed, half of the
	// engines ignore fencing numbers, and the rate of the weight store is exceeded.
	@Property(tries = 12, seed = "20261204")
	void convergesToPlanAfterFaults(@ForAll long seed) {
		run(seed, STEPS);
	}

	// Runs the seeds selected by system properties.
	@Test
	void convergesToPlanForSelectedSeeds() {
		long first = Long.getLong("planner.seed", 7);
		for (long seed = first; seed < first + Integer.getInteger("planner.runs", 1); seed++) {
			run(seed, Integer.getInteger("planner.steps", STEPS));
		}
	}

	private void run(long seed, int steps) {
		PlannerSimulation simulation = new PlannerSimulation(seed);
		try {
			assertThat(simulation.run(steps)).containsKeys("vm started", "fault pause", "fault start answer lost",
					"start refused", "order applied");
		}
		finally {
			System.out.println(simulation);
		}
	}

}
