package org.banyancove.core.suspect;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class DecisionRunTests {

	private static final int STEPS = Integer.getInteger("banyancove.run.steps", 3000);

	// Two entries serve callers while VMs receive notices, zones are reclaimed in
	// waves, processes crash, lists are outdated, cache events are lost, and one
	// caller repeats a request that crashes endpoints. Every request ends once,
	// none is placed at an endpoint with a notice, retries stay within the budget,
	// and only the crashing request is refused.
	@Property(tries = 40, seed = "7")
	void decisionsKeepInvariantsUnderFaults(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		DecisionRun run = new DecisionRun(seed);
		String summary = run.run(STEPS);
		System.out.println("seed " + seed + ": " + summary);
		assertThat(run.completed()).as("completed requests show that the run is meaningful: %s", summary)
			.isGreaterThan(100);
		assertThat(run.poisonCrashes()).as("crashes until the request is refused").isBetween(1, 12);
		assertThat(run.harmlessStopped()).as("harmless requests refused after two unrelated losses")
			.isLessThanOrEqualTo(2);
		assertThat(run.faultKinds()).isGreaterThanOrEqualTo(6);
	}

}
