package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseKeeperTests {

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private static final Duration LEASE = Duration.ofSeconds(6);

	@Test
	void claimsAnEmptyTopicAtOnce() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.append(keeper, 0);
		assertThat(keeper.holds(0)).isTrue();
		assertThat(keeper.fence()).isEqualTo(1);
	}

	// Two gateways start together and see the same empty topic. The store takes one
	// append; the other is told that the topic has moved, and must not act.
	@Test
	void ofTwoClaimantsOneFails() {
		Topic topic = new Topic();
		LeaseKeeper first = keeper(1);
		LeaseKeeper second = keeper(2);
		topic.read(first, 0);
		topic.read(second, 0);
		topic.append(first, 0);
		topic.append(second, 0);
		assertThat(first.holds(0)).isTrue();
		assertThat(second.holds(0)).isFalse();
		topic.read(second, MILLISECOND);
		assertThat(second.toAppend(List.of(), false, MILLISECOND)).isNull();
	}

	// The answer to a claim is lost, though the store took it. The claimant doesn't act
	// on a guess; it finds its own record, renews it, and acts from then on.
	@Test
	void aClaimWhoseAnswerWasLostIsFoundInTheTopic() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.appendAndLoseTheAnswer(keeper, 0);
		assertThat(keeper.holds(0)).isFalse();
		topic.read(keeper, MILLISECOND);
		assertThat(keeper.holds(MILLISECOND)).isFalse();
		topic.append(keeper, 2 * MILLISECOND);
		assertThat(keeper.holds(2 * MILLISECOND)).isTrue();
		assertThat(keeper.fence()).isEqualTo(1);
	}

	@Test
	void aReportThatMustBeWrittenDownIsAppendedBeforeARenewalIsDue() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.append(keeper, 0);
		UsageReport report = new UsageReport(5, Map.of());
		assertThat(keeper.toAppend(List.of(report), false, MILLISECOND)).isNull();
		assertThat(keeper.toAppend(List.of(report), true, MILLISECOND)).isNotNull();
	}

	// Four gateways lose the store and come back at random, for twenty minutes. At no
	// moment do two of them hold the lease, the fence never falls, and no holder that
	// lost it acts again within a lease's time of another.
	@Test
	void neverTwoHoldersAndTheFenceOnlyGrows() {
		SplittableRandom random = new SplittableRandom(11);
		Topic topic = new Topic();
		List<LeaseKeeper> keepers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			keepers.add(keeper(i + 1));
		}
		boolean[] away = new boolean[4];
		long highest = 0;
		int changes = 0;
		for (long now = 0; now < 1_200_000 * MILLISECOND; now += 200 * MILLISECOND) {
			int holders = 0;
			for (int i = 0; i < 4; i++) {
				LeaseKeeper keeper = keepers.get(i);
				away[i] = (random.nextInt(100) == 0) != away[i];
				if (!away[i]) {
					topic.read(keeper, now);
					topic.append(keeper, now);
				}
				if (keeper.holds(now)) {
					holders++;
					assertThat(keeper.fence()).isGreaterThanOrEqualTo(highest);
					changes += (keeper.fence() > highest) ? 1 : 0;
					highest = keeper.fence();
				}
			}
			assertThat(holders).as("holders at %s ms", now / MILLISECOND).isLessThanOrEqualTo(1);
		}
		assertThat(changes).isGreaterThan(20);
	}

	private static LeaseKeeper keeper(long incarnation) {
		return new LeaseKeeper(incarnation, LEASE, incarnation / 10.0, 0);
	}

	private static final class Topic {

		private final List<LeaseRecord> records = new ArrayList<>();

		private final Map<LeaseKeeper, Integer> readTo = new HashMap<>();

		private void read(LeaseKeeper keeper, long now) {
			int from = this.readTo.getOrDefault(keeper, 0);
			this.records.subList(from, this.records.size()).forEach((record) -> keeper.read(record, now));
			this.readTo.put(keeper, this.records.size());
			keeper.ends(this.records.size());
		}

		private boolean take(LeaseKeeper keeper, LeaseRecord record) {
			return keeper.expectedEnd() == this.records.size() && this.records.add(record);
		}

		private void append(LeaseKeeper keeper, long now) {
			LeaseRecord record = keeper.toAppend(List.of(), false, now);
			if (record == null) {
				return;
			}
			if (take(keeper, record)) {
				keeper.appended(this.records.size() - 1L, now);
			}
			else {
				keeper.notAppended();
			}
		}

		private void appendAndLoseTheAnswer(LeaseKeeper keeper, long now) {
			LeaseRecord record = Objects.requireNonNull(keeper.toAppend(List.of(), false, now));
			take(keeper, record);
			keeper.notAppended();
		}

	}

}
