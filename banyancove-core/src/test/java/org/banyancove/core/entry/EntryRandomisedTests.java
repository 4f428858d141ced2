package org.banyancove.core.entry;

import java.time.Duration;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.banyancove.core.profile.ProfileTable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Randomised tests of six complete entries in three data centers. Faults of every kind
 * are injected at any time, concurrently and repeatedly. Callers must receive each plan
 * completely or a final error, each booking must run at most once, and no booking that
 * ran may be reported as not run. To use another seed and duration:
 * {@code -Dbanyancove.seed=… -Dbanyancove.seconds=…}.
 */
class EntryRandomisedTests {

	private static final long SEED = Long.getLong("banyancove.seed", 0);

	private static final Duration ACTIVE = Duration.ofSeconds(Long.getLong("banyancove.seconds", 30));

	@Property(tries = 4, seed = "20261202")
	void guaranteesHoldUnderFaults(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		long chosen = (SEED != 0) ? SEED : seed;
		EntryRun run = new EntryRun(chosen);
		run.advance(Duration.ofSeconds(5));
		run.run(ACTIVE, 1.0);
		System.out.println("entry run seed " + chosen + ": " + run.summary());
		check(run);
	}

	@Property(tries = 1, seed = "1")
	void allRequestsCompleteWithoutFaults() {
		EntryRun run = new EntryRun(1);
		run.advance(Duration.ofSeconds(5));
		run.run(Duration.ofSeconds(20), 0);
		System.out.println("entry run without faults: " + run.summary());
		check(run);
		assertThat(run.callers).allMatch(FakeCaller::isComplete);
	}

	private static void check(EntryRun run) {
		for (FakeCaller caller : run.callers) {
			assertThat(caller.isComplete() || caller.isFailed())
				.as("%s got its final answer, is %s", caller.key(), caller)
				.isTrue();
			if (caller.isBooking()) {
				assertThat(run.endpoints.runs(caller.key())).as("runs of %s", caller.key()).isLessThanOrEqualTo(1);
			}
			if (caller.isBooking() && caller.isReportedNotRun()) {
				assertThat(run.endpoints.runs(caller.key())).as("runs of %s, reported as not run", caller.key())
					.isZero();
			}
		}
		for (FakeEntry entry : run.entries) {
			ProfileTable table = entry.core().profiles().table();
			assertThat(table.nextOffset()).as("profiles at %s", entry.address()).isEqualTo(run.platform.profilesEnd());
		}
	}

}
