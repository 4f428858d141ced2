package org.banyancove.core.ledger;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Randomised simulations of the key ledger. The seed and length of a run can be set by
 * {@code -Dledger.seed=… -Dledger.steps=… -Dledger.runs=…}.
 */
class LedgerRandomisedTests {

	private static final int STEPS = 6000;

	// Guards against violations visible to the caller: a call runs at most once, "not
	// run" is true, and a repeat receives the answer of the first run. Processes fail,
	// pause, stop, hand over and are replaced; the log loses answers, applies appends
	// late, fails and trims; endpoints run calls and lose the answers. Faults are
	// combined in any order. Keys outlive retention, so only checkpoints preserve them.
	@Property(tries = 12, seed = "20261202")
	void callRunsAtMostOnceIfKeysOutliveRetention(@ForAll long seed) {
		run(seed, STEPS, settings(Duration.ofHours(1), Duration.ofSeconds(30)));
	}

	// As above, but keys expire within the run, and a stream without retained records
	// must become usable again. A call may run again after its key window, but never
	// within it.
	@Property(tries = 12, seed = "20261203")
	void callRunsAtMostOnceIfRetentionOutlivesKeys(@ForAll long seed) {
		run(seed, STEPS, settings(Duration.ofSeconds(25), Duration.ofSeconds(30)));
	}

	// As the first test, but answers expire within seconds, so that most repeats find a
	// digest only: they receive the status of the first run, "unknown" or "other body".
	// No digest lets a call run again, regardless of the process and the checkpoint that
	// restored it.
	@Property(tries = 12, seed = "20261204")
	void callRunsAtMostOnceIfOnlyDigestIsKept(@ForAll long seed) {
		runWithDigests(seed, STEPS, Duration.ofHours(1));
	}

	// As above, but digests expire as well, so that a key is claimed again after its own
	// digest.
	@Property(tries = 12, seed = "20261205")
	void callRunsAtMostOnceIfDigestExpires(@ForAll long seed) {
		runWithDigests(seed, STEPS, Duration.ofSeconds(25));
	}

	// As above, but processes use different answer windows: none, half a second, or the
	// full key window. They must agree on which calls have ended and which may run.
	@Property(tries = 12, seed = "20261207")
	void processesMayUseDifferentAnswerWindows(@ForAll long seed) {
		runWithMixedWindows(seed, STEPS);
	}

	// Runs selected by system properties.
	@Test
	void callRunsAtMostOnceWithSelectedSeeds() {
		long first = Long.getLong("ledger.seed", 7);
		int steps = Integer.getInteger("ledger.steps", STEPS);
		for (long seed = first; seed < first + Integer.getInteger("ledger.runs", 1); seed++) {
			run(seed, steps, settings(Duration.ofHours(1), Duration.ofSeconds(30)));
			run(seed, steps, settings(Duration.ofSeconds(25), Duration.ofSeconds(30)));
			runWithDigests(seed, steps, Duration.ofHours(1));
			runWithDigests(seed, steps, Duration.ofSeconds(25));
			runWithMixedWindows(seed, steps);
		}
	}

	private void runWithDigests(long seed, int steps, Duration keyWindow) {
		Map<String, Integer> counts = run(seed, steps,
				settings(keyWindow, Duration.ofMillis(500), Duration.ofSeconds(30)));
		assertThat(counts).containsKey("answered without body");
	}

	private void runWithMixedWindows(long seed, int steps) {
		Duration keyWindow = Duration.ofSeconds(25);
		List<Duration> answerWindows = List.of(Duration.ZERO, Duration.ofMillis(500), keyWindow);
		Map<String, Integer> counts = run(
				new LedgerSimulation(seed, settings(keyWindow, Duration.ofSeconds(30)), answerWindows), steps);
		assertThat(counts).containsKey("answered without body");
	}

	private Map<String, Integer> run(long seed, int steps, ClaimSettings settings) {
		return run(new LedgerSimulation(seed, settings), steps);
	}

	private Map<String, Integer> run(LedgerSimulation simulation, int steps) {
		try {
			Map<String, Integer> counts = simulation.run(steps);
			assertThat(counts).containsKeys("run", "not run", "unknown", "answered repeat", "fault death",
					"fault pause", "fault trim", "fault append answer lost", "fault append takes effect late");
			return counts;
		}
		finally {
			System.out.println(simulation);
		}
	}

	private ClaimSettings settings(Duration keyWindow, Duration retention) {
		return settings(keyWindow, keyWindow, retention);
	}

	private ClaimSettings settings(Duration keyWindow, Duration answerWindow, Duration retention) {
		return new ClaimSettings(2, Duration.ofMillis(20), Duration.ofSeconds(1), keyWindow, answerWindow, retention,
				Duration.ofSeconds(8), Duration.ofMillis(500), 40, 2, 50, 500, 64);
	}

}
