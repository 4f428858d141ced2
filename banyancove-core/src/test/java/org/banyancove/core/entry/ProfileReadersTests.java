package org.banyancove.core.entry;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ProfileReaders}. All times are those of the simulated clock.
 */
class ProfileReadersTests {

	/** The maximum time from a change until it is effective everywhere. */
	private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(12);

	private static final Duration SETTLE_TIME = Duration.ofSeconds(40);

	private static final Duration MINUTE = Duration.ofMinutes(1);

	// Without a selection of readers, each of the sixty-two entries of a data
	// center keeps a long poll open at the log. With two readers the others are
	// notified, and a change is effective as soon.
	@Test
	void onlySelectedEntriesOfLargeDataCenterRead() {
		ProfileReaderFleet all = settledFleet(1, 62, 0);
		ProfileReaderFleet few = settledFleet(1, 62, 2);
		assertThat(few.readingMembers()).hasSize(2);
		few.change();
		assertThat(few.runUntilApplied(MAXIMUM_DELAY)).isLessThan(Duration.ofSeconds(1));
		assertReads(all, few, 62, 2);
	}

	@Test
	void nineEntriesOfThreeDataCentersHaveSixReaders() {
		ProfileReaderFleet all = settledFleet(3, 3, 0);
		ProfileReaderFleet few = settledFleet(3, 3, 2);
		assertThat(few.readingMembers()).hasSize(6);
		few.change();
		assertThat(few.runUntilApplied(MAXIMUM_DELAY)).isLessThan(Duration.ofSeconds(1));
		assertReads(all, few, 9, 6);
	}

	// Guards against a change that is missed when all readers fail. Both readers'
	// VMs are reclaimed without notice just before a profile is changed. The
	// followers are not notified, so each reads the log itself after a timeout, and
	// the change is effective in time. Then new readers are selected.
	@Test
	void changeIsAppliedWhenAllReadersFail() {
		ProfileReaderFleet fleet = settledFleet(1, 62, 2);
		fleet.readingMembers().forEach((reader) -> reader.alive = false);
		fleet.change();
		assertThat(fleet.runUntilApplied(MAXIMUM_DELAY)).isLessThan(MAXIMUM_DELAY);
		fleet.run(SETTLE_TIME);
		assertThat(fleet.readingMembers()).hasSize(2);
	}

	// Guards against a change that is missed when the readers cannot reach the
	// platform but are still alive to their peers. The followers receive no
	// notification of the end of the log and read it themselves, and the readers
	// receive the change from them.
	@Test
	void changeIsAppliedWhenReadersCannotReachPlatform() {
		ProfileReaderFleet fleet = settledFleet(1, 62, 2);
		fleet.readingMembers().forEach((reader) -> reader.partitionedFromLog = true);
		fleet.change();
		assertThat(fleet.runUntilApplied(MAXIMUM_DELAY)).isLessThan(MAXIMUM_DELAY);
		fleet.run(SETTLE_TIME);
		fleet.change();
		assertThat(fleet.runUntilApplied(MAXIMUM_DELAY)).isLessThan(MAXIMUM_DELAY);
	}

	// Guards against a change that is delayed by slow readers. Responses of the log
	// reach both readers half a minute late, so their notifications are outdated
	// and rare. A follower relies on them until the timeout and then reads the log
	// itself.
	@Test
	void changeIsAppliedWhenReadersLag() {
		ProfileReaderFleet fleet = settledFleet(1, 62, 2);
		fleet.readingMembers().forEach((reader) -> reader.lag = Duration.ofSeconds(30));
		for (int change = 0; change < 5; change++) {
			fleet.change();
			assertThat(fleet.runUntilApplied(MAXIMUM_DELAY)).isLessThan(MAXIMUM_DELAY);
			fleet.run(Duration.ofSeconds(7));
		}
	}

	// Guards against an entry that cannot start during an outage of the log. It
	// must receive the profiles from its peers and become ready without having read
	// a record itself.
	@Test
	void newEntryReceivesProfilesFromPeersDuringOutage() {
		ProfileReaderFleet fleet = settledFleet(1, 3, 2);
		fleet.members.forEach((member) -> member.partitionedFromLog = true);
		ProfileReaderFleet.Member joined = fleet.join();
		joined.partitionedFromLog = true;
		assertThat(fleet.runUntilApplied(MAXIMUM_DELAY)).isLessThan(MAXIMUM_DELAY);
		assertThat(joined.core.isReady()).isTrue();
	}

	// One reader cannot reach the log: its followers read the log themselves, those
	// of the other reader do not.
	@Test
	void followersOfHealthyReaderDoNotRead() {
		ProfileReaderFleet fleet = settledFleet(1, 62, 2);
		List<ProfileReaderFleet.Member> readers = fleet.readingMembers();
		readers.getFirst().partitionedFromLog = true;
		fleet.run(SETTLE_TIME);
		assertThat(fleet.readingMembers().size()).isBetween(3, 61);
		readers.getFirst().partitionedFromLog = false;
		fleet.run(SETTLE_TIME);
		assertThat(fleet.readingMembers()).hasSameElementsAs(readers);
	}

	private static ProfileReaderFleet settledFleet(int dataCenters, int entriesEach, int readers) {
		ProfileReaderFleet fleet = new ProfileReaderFleet(dataCenters, entriesEach, readers);
		fleet.change();
		fleet.run(SETTLE_TIME);
		fleet.drainReads();
		return fleet;
	}

	// A long poll without changes waits for five seconds, so each reader reads
	// twelve times a minute.
	private static void assertReads(ProfileReaderFleet all, ProfileReaderFleet few, int readersOfAll,
			int readersOfFew) {
		few.drainReads();
		all.run(MINUTE);
		few.run(MINUTE);
		long before = all.drainReads();
		long after = few.drainReads();
		System.out.printf("profile reads at %d entries in a quiet minute: %d before, %d after%n", all.members.size(),
				before, after);
		assertThat(before).isBetween(readersOfAll * 11L, readersOfAll * 13L);
		assertThat(after).isBetween(readersOfFew * 11L, readersOfFew * 13L);
	}

}
