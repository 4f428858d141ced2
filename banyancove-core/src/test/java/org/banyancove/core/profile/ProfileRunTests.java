package org.banyancove.core.profile;

import java.util.EnumMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ProfileRunTests {

	private static final long SEED = Long.getLong("profile.run.seed", 20260101L);

	private static final int RUNS = Integer.getInteger("profile.run.runs", 60);

	private static final int STEPS = Integer.getInteger("profile.run.steps", 1500);

	// Operators make concurrent changes and lose answers while readers in several data
	// centers are disconnected, lag, are replaced and read a stream from which
	// retention has removed records. Every reader must compute the expected outcome of
	// every record and hold the expected profiles at its offset; at the end all
	// readers that could recover are equal. Seed and length are set with
	// -Dprofile.run.seed, -Dprofile.run.runs and -Dprofile.run.steps.
	@Test
	void allReadersComputeExpectedOutcomes() {
		Map<ProfileRun.Event, Integer> total = new EnumMap<>(ProfileRun.Event.class);
		for (int run = 0; run < RUNS; run++) {
			new ProfileRun(SEED + run).run(STEPS).forEach((event, count) -> total.merge(event, count, Integer::sum));
		}
		System.out.println("profiles run: seed " + SEED + ", runs " + RUNS + ", steps " + STEPS + ", " + total);
		assertThat(total.keySet()).containsExactly(ProfileRun.Event.values());
	}

}
