package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseKeeperTests {

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private static final Duration LEASE = Duration.ofSeconds(6);

	@Test
	void claimsEmptyTopicImmediately() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.append(keeper, 0);
		assertThat(keeper.holds(0)).isTrue();
		assertThat(keeper.fence()).isEqualTo(1);
	}

	// Guards against two holders when two gateways start simultaneously and read the
	// same empty topic. The store accepts one append and rejects the other, because the
	// end of the topic has changed.
	@Test
	void onlyOneOfTwoConcurrentClaimantsSucceeds() {
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
		assertThat(second.toAppend(List.of(), List.of(), false, MILLISECOND)).isNull();
	}

	// Guards against a claimant that acts on a claim with an unknown outcome: the store
	// accepted the append, but the response was lost. The claimant must read its own
	// record and renew it before it acts.
	@Test
	void recoversClaimWhoseResponseWasLost() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.appendAndLoseResponse(keeper, 0);
		assertThat(keeper.holds(0)).isFalse();
		topic.read(keeper, MILLISECOND);
		assertThat(keeper.holds(MILLISECOND)).isFalse();
		topic.append(keeper, 2 * MILLISECOND);
		assertThat(keeper.holds(2 * MILLISECOND)).isTrue();
		assertThat(keeper.fence()).isEqualTo(1);
	}

	@Test
	void urgentReportIsAppendedBeforeRenewalIsDue() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.append(keeper, 0);
		UsageReport report = new UsageReport(5, Map.of());
		assertThat(keeper.toAppend(List.of(report), List.of(), false, MILLISECOND)).isNull();
		assertThat(keeper.toAppend(List.of(report), List.of(), true, MILLISECOND)).isNotNull();
	}

	// Guards against seconds without a holder after all processes were killed at once.
	@Test
	void restartedHolderClaimsImmediatelyWhileOthersWait() {
		Topic topic = new Topic();
		LeaseKeeper killedProcess = keeper(1);
		topic.read(killedProcess, 0);
		topic.append(killedProcess, 0);
		LeaseKeeper restartedProcess = new LeaseKeeper("edge-1", 7, LEASE, 0, MILLISECOND);
		LeaseKeeper other = new LeaseKeeper("edge-2", 8, LEASE, 0, MILLISECOND);
		topic.read(other, MILLISECOND);
		assertThat(other.toAppend(List.of(), List.of(), false, MILLISECOND)).isNull();
		topic.read(restartedProcess, MILLISECOND);
		topic.append(restartedProcess, MILLISECOND);
		assertThat(restartedProcess.holds(MILLISECOND)).isTrue();
		assertThat(restartedProcess.fence()).isGreaterThan(killedProcess.fence());
	}

	// Guards against two concurrent holders and decreasing fences while four gateways
	// lose and regain the store at random for twenty minutes. A holder that lost the
	// lease must not act during the lease of another gateway.
	@Test
	void atMostOneHolderAndFenceNeverDecreases() {
		SplittableRandom random = new SplittableRandom(11);
		Topic topic = new Topic();
		List<LeaseKeeper> keepers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			keepers.add(keeper(i + 1));
		}
		boolean[] disconnected = new boolean[4];
		long highestFence = 0;
		int holderChanges = 0;
		for (long now = 0; now < 1_200_000 * MILLISECOND; now += 200 * MILLISECOND) {
			int holders = 0;
			for (int i = 0; i < 4; i++) {
				LeaseKeeper keeper = keepers.get(i);
				disconnected[i] = (random.nextInt(100) == 0) != disconnected[i];
				if (!disconnected[i]) {
					topic.read(keeper, now);
					topic.append(keeper, now);
				}
				if (keeper.holds(now)) {
					holders++;
					assertThat(keeper.fence()).isGreaterThanOrEqualTo(highestFence);
					holderChanges += (keeper.fence() > highestFence) ? 1 : 0;
					highestFence = keeper.fence();
				}
			}
			assertThat(holders).as("holders at %s ms", now / MILLISECOND).isLessThanOrEqualTo(1);
		}
		assertThat(holderChanges).isGreaterThan(20);
	}

	// Guards against a holder that was paused while its renewal was in flight, and acts
	// on the response after another gateway took over.
	@Test
	void responseAfterProcessPauseDoesNotRenewLease() {
		Topic topic = new Topic();
		LeaseKeeper keeper = keeper(1);
		topic.read(keeper, 0);
		topic.append(keeper, 0);
		long renewalTime = LEASE.toNanos() / 3;
		LeaseRecord renewing = Objects.requireNonNull(keeper.toAppend(List.of(), List.of(), false, renewalTime));
		topic.tryAppend(keeper, renewing);
		keeper.stoodStill(renewalTime + MILLISECOND);
		keeper.appended(renewing, 1, renewalTime + 2 * MILLISECOND);
		assertThat(keeper.holds(renewalTime + 2 * MILLISECOND)).isFalse();
		topic.read(keeper, renewalTime + 3 * MILLISECOND);
		assertThat(keeper.toAppend(List.of(), List.of(), true, renewalTime + 3 * MILLISECOND)).as("backs off").isNull();
	}

	// Guards against a holder that acts after another one with a higher fence, under
	// process pauses that the monotonic clock does not include, lost responses and
	// store outages.
	@Test
	void holderNeverActsAfterOneWithHigherFence() {
		SplittableRandom random = new SplittableRandom(5);
		Topic topic = new Topic();
		List<SimulatedGateway> gateways = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			gateways.add(new SimulatedGateway(keeper(i + 1)));
		}
		long highestFence = 0;
		int holderChanges = 0;
		for (long now = 0; now < 3_600_000 * MILLISECOND; now += 200 * MILLISECOND) {
			for (SimulatedGateway gateway : gateways) {
				long actingFence = gateway.step(topic, random, now);
				assertThat(actingFence == 0 || actingFence >= highestFence)
					.as("fence %s after %s", actingFence, highestFence)
					.isTrue();
				holderChanges += (actingFence > highestFence) ? 1 : 0;
				highestFence = Math.max(highestFence, actingFence);
			}
		}
		assertThat(holderChanges).isGreaterThan(20);
	}

	private static LeaseKeeper keeper(long incarnation) {
		return new LeaseKeeper("edge-" + incarnation, incarnation, LEASE, incarnation / 10.0, 0);
	}

	/**
	 * A simulated gateway that pauses, loses the store, and receives responses late or
	 * never.
	 */
	private static final class SimulatedGateway {

		private final LeaseKeeper keeper;

		private long pausedUntil;

		private long pausedNanos;

		private boolean resumed;

		private boolean disconnected;

		private @Nullable LeaseRecord pending;

		private long responseAt;

		private long appendedOffset;

		SimulatedGateway(LeaseKeeper keeper) {
			this.keeper = keeper;
		}

		// Returns the fence with which the gateway acts, or 0 if it does not act.
		long step(Topic topic, SplittableRandom random, long now) {
			if (now < this.pausedUntil) {
				return 0;
			}
			long monotonicNow = now - this.pausedNanos;
			boolean receivesFirst = random.nextBoolean();
			if (receivesFirst) {
				receive(now, monotonicNow);
			}
			if (this.resumed) {
				this.resumed = false;
				this.keeper.stoodStill(monotonicNow);
			}
			long actingFence = this.keeper.holds(monotonicNow) ? this.keeper.fence() : 0;
			if (!receivesFirst) {
				receive(now, monotonicNow);
			}
			this.disconnected = (random.nextInt(60) == 0) != this.disconnected;
			if (!this.disconnected) {
				topic.read(this.keeper, monotonicNow);
				send(topic, random, now, monotonicNow);
			}
			if (random.nextInt(100) == 0) {
				pause(now, Duration.ofSeconds(1 + random.nextInt(20)).toNanos());
			}
			return actingFence;
		}

		private void pause(long now, long nanos) {
			this.pausedUntil = now + nanos;
			this.pausedNanos += nanos;
			this.resumed = true;
		}

		private void send(Topic topic, SplittableRandom random, long now, long monotonicNow) {
			LeaseRecord record = this.keeper.toAppend(List.of(), List.of(), false, monotonicNow);
			if (record == null) {
				return;
			}
			this.pending = record;
			this.appendedOffset = topic.tryAppend(this.keeper, record) ? topic.records.size() - 1L : -1;
			this.responseAt = now + random.nextInt(600) * MILLISECOND;
		}

		private void receive(long now, long monotonicNow) {
			LeaseRecord record = this.pending;
			if (record == null || now < this.responseAt) {
				return;
			}
			this.pending = null;
			if (this.appendedOffset >= 0) {
				this.keeper.appended(record, this.appendedOffset, monotonicNow);
			}
			else {
				this.keeper.notAppended(record);
			}
		}

	}

	private static final class Topic {

		private final List<LeaseRecord> records = new ArrayList<>();

		private final Map<LeaseKeeper, Integer> nextOffsets = new HashMap<>();

		private void read(LeaseKeeper keeper, long now) {
			int nextOffset = this.nextOffsets.getOrDefault(keeper, 0);
			this.records.subList(nextOffset, this.records.size()).forEach((record) -> keeper.read(record, now));
			this.nextOffsets.put(keeper, this.records.size());
			keeper.ends(this.records.size());
		}

		private boolean tryAppend(LeaseKeeper keeper, LeaseRecord record) {
			return keeper.expectedEnd() == this.records.size() && this.records.add(record);
		}

		private void append(LeaseKeeper keeper, long now) {
			LeaseRecord record = keeper.toAppend(List.of(), List.of(), false, now);
			if (record == null) {
				return;
			}
			if (tryAppend(keeper, record)) {
				keeper.appended(record, this.records.size() - 1L, now);
			}
			else {
				keeper.notAppended(record);
			}
		}

		private void appendAndLoseResponse(LeaseKeeper keeper, long now) {
			LeaseRecord record = Objects.requireNonNull(keeper.toAppend(List.of(), List.of(), false, now));
			tryAppend(keeper, record);
			keeper.notAppended(record);
		}

	}

}
