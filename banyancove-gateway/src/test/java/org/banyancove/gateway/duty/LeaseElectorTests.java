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

class LeaseElectorTests {

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private static final Duration LEASE = Duration.ofSeconds(6);

	@Test
	void claimsEmptyTopicImmediately() {
		Topic topic = new Topic();
		LeaseElector elector = elector(1);
		topic.read(elector, 0);
		topic.append(elector, 0);
		assertThat(elector.holdsLease(0)).isTrue();
		assertThat(elector.fence()).isEqualTo(1);
	}

	// Guards against two holders when two gateways start simultaneously and read the
	// same empty topic. The store accepts one append and rejects the other, because the
	// end of the topic has changed.
	@Test
	void onlyOneOfTwoConcurrentClaimantsSucceeds() {
		Topic topic = new Topic();
		LeaseElector first = elector(1);
		LeaseElector second = elector(2);
		topic.read(first, 0);
		topic.read(second, 0);
		topic.append(first, 0);
		topic.append(second, 0);
		assertThat(first.holdsLease(0)).isTrue();
		assertThat(second.holdsLease(0)).isFalse();
		topic.read(second, MILLISECOND);
		assertThat(second.nextRecord(List.of(), List.of(), false, MILLISECOND)).isNull();
	}

	// Guards against a claimant that acts on a claim with an unknown outcome: the store
	// accepted the append, but the response was lost. The claimant must read its own
	// record and renew it before it acts.
	@Test
	void recoversClaimWhoseResponseWasLost() {
		Topic topic = new Topic();
		LeaseElector elector = elector(1);
		topic.read(elector, 0);
		topic.appendAndLoseResponse(elector, 0);
		assertThat(elector.holdsLease(0)).isFalse();
		topic.read(elector, MILLISECOND);
		assertThat(elector.holdsLease(MILLISECOND)).isFalse();
		topic.append(elector, 2 * MILLISECOND);
		assertThat(elector.holdsLease(2 * MILLISECOND)).isTrue();
		assertThat(elector.fence()).isEqualTo(1);
	}

	@Test
	void urgentReportIsAppendedBeforeRenewalIsDue() {
		Topic topic = new Topic();
		LeaseElector elector = elector(1);
		topic.read(elector, 0);
		topic.append(elector, 0);
		UsageReport report = new UsageReport(5, Map.of());
		assertThat(elector.nextRecord(List.of(report), List.of(), false, MILLISECOND)).isNull();
		assertThat(elector.nextRecord(List.of(report), List.of(), true, MILLISECOND)).isNotNull();
	}

	// Guards against seconds without a holder after all processes were killed at once.
	@Test
	void restartedHolderClaimsImmediatelyWhileOthersWait() {
		Topic topic = new Topic();
		LeaseElector killedProcess = elector(1);
		topic.read(killedProcess, 0);
		topic.append(killedProcess, 0);
		LeaseElector restartedProcess = new LeaseElector("edge-1", 7, LEASE, 0, MILLISECOND);
		LeaseElector other = new LeaseElector("edge-2", 8, LEASE, 0, MILLISECOND);
		topic.read(other, MILLISECOND);
		assertThat(other.nextRecord(List.of(), List.of(), false, MILLISECOND)).isNull();
		topic.read(restartedProcess, MILLISECOND);
		topic.append(restartedProcess, MILLISECOND);
		assertThat(restartedProcess.holdsLease(MILLISECOND)).isTrue();
		assertThat(restartedProcess.fence()).isGreaterThan(killedProcess.fence());
	}

	// Guards against two concurrent holders and decreasing fences while four gateways
	// lose and regain the store at random for twenty minutes. A holder that lost the
	// lease must not act during the lease of another gateway.
	@Test
	void atMostOneHolderAndFenceNeverDecreases() {
		SplittableRandom random = new SplittableRandom(11);
		Topic topic = new Topic();
		List<LeaseElector> electors = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			electors.add(elector(i + 1));
		}
		boolean[] disconnected = new boolean[4];
		long highestFence = 0;
		int holderChanges = 0;
		for (long now = 0; now < 1_200_000 * MILLISECOND; now += 200 * MILLISECOND) {
			int holders = 0;
			for (int i = 0; i < 4; i++) {
				LeaseElector elector = electors.get(i);
				disconnected[i] = (random.nextInt(100) == 0) != disconnected[i];
				if (!disconnected[i]) {
					topic.read(elector, now);
					topic.append(elector, now);
				}
				if (elector.holdsLease(now)) {
					holders++;
					assertThat(elector.fence()).isGreaterThanOrEqualTo(highestFence);
					holderChanges += (elector.fence() > highestFence) ? 1 : 0;
					highestFence = elector.fence();
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
		LeaseElector elector = elector(1);
		topic.read(elector, 0);
		topic.append(elector, 0);
		long renewalTime = LEASE.toNanos() / 3;
		LeaseRecord renewing = Objects.requireNonNull(elector.nextRecord(List.of(), List.of(), false, renewalTime));
		topic.tryAppend(elector, renewing);
		elector.onProcessPause(renewalTime + MILLISECOND);
		elector.appendSucceeded(renewing, 1, renewalTime + 2 * MILLISECOND);
		assertThat(elector.holdsLease(renewalTime + 2 * MILLISECOND)).isFalse();
		topic.read(elector, renewalTime + 3 * MILLISECOND);
		assertThat(elector.nextRecord(List.of(), List.of(), true, renewalTime + 3 * MILLISECOND)).as("backs off")
			.isNull();
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
			gateways.add(new SimulatedGateway(elector(i + 1)));
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

	private static LeaseElector elector(long incarnation) {
		return new LeaseElector("edge-" + incarnation, incarnation, LEASE, incarnation / 10.0, 0);
	}

	/**
	 * A simulated gateway that pauses, loses the store, and receives responses late or
	 * never.
	 */
	private static final class SimulatedGateway {

		private final LeaseElector elector;

		private long pausedUntil;

		private long pausedNanos;

		private boolean resumed;

		private boolean disconnected;

		private @Nullable LeaseRecord pending;

		private long responseAt;

		private long appendedOffset;

		SimulatedGateway(LeaseElector elector) {
			this.elector = elector;
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
				this.elector.onProcessPause(monotonicNow);
			}
			long actingFence = this.elector.holdsLease(monotonicNow) ? this.elector.fence() : 0;
			if (!receivesFirst) {
				receive(now, monotonicNow);
			}
			this.disconnected = (random.nextInt(60) == 0) != this.disconnected;
			if (!this.disconnected) {
				topic.read(this.elector, monotonicNow);
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
			LeaseRecord record = this.elector.nextRecord(List.of(), List.of(), false, monotonicNow);
			if (record == null) {
				return;
			}
			this.pending = record;
			this.appendedOffset = topic.tryAppend(this.elector, record) ? topic.records.size() - 1L : -1;
			this.responseAt = now + random.nextInt(600) * MILLISECOND;
		}

		private void receive(long now, long monotonicNow) {
			LeaseRecord record = this.pending;
			if (record == null || now < this.responseAt) {
				return;
			}
			this.pending = null;
			if (this.appendedOffset >= 0) {
				this.elector.appendSucceeded(record, this.appendedOffset, monotonicNow);
			}
			else {
				this.elector.appendFailed(record);
			}
		}

	}

	private static final class Topic {

		private final List<LeaseRecord> records = new ArrayList<>();

		private final Map<LeaseElector, Integer> nextOffsets = new HashMap<>();

		private void read(LeaseElector elector, long now) {
			int nextOffset = this.nextOffsets.getOrDefault(elector, 0);
			this.records.subList(nextOffset, this.records.size()).forEach((record) -> elector.apply(record, now));
			this.nextOffsets.put(elector, this.records.size());
			elector.advanceTopicEnd(this.records.size());
		}

		private boolean tryAppend(LeaseElector elector, LeaseRecord record) {
			return elector.expectedEndOffset() == this.records.size() && this.records.add(record);
		}

		private void append(LeaseElector elector, long now) {
			LeaseRecord record = elector.nextRecord(List.of(), List.of(), false, now);
			if (record == null) {
				return;
			}
			if (tryAppend(elector, record)) {
				elector.appendSucceeded(record, this.records.size() - 1L, now);
			}
			else {
				elector.appendFailed(record);
			}
		}

		private void appendAndLoseResponse(LeaseElector elector, long now) {
			LeaseRecord record = Objects.requireNonNull(elector.nextRecord(List.of(), List.of(), false, now));
			tryAppend(elector, record);
			elector.appendFailed(record);
		}

	}

}
