package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectExchangeTests {

	private static final int SUSPECTS = 40;

	private static final double LOSS_PROBABILITY = 0.3;

	private Instant now = Instant.EPOCH;

	// 40 requests crash two endpoints each, and 30 % of the messages between entries are
	// lost, heartbeats included; a third entry starts after the last crash. If records
	// were sent only once, some entry would run some of the requests again. The digests
	// reveal the missing records, which are sent until no digest differs.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void peerThatMissedNoticesOrStartedLaterRefusesTheRequests(long seed) {
		Random random = new Random(seed);
		Entry first = new Entry(1);
		Entry second = new Entry(2);
		for (int number = 0; number < SUSPECTS; number++) {
			first.crash(number, "a" + number);
			first.crash(number, "b" + number);
			for (SuspectRecord record : first.suspects.drainChanged()) {
				if (random.nextDouble() >= LOSS_PROBABILITY) {
					second.suspects.merge(List.of(record));
				}
			}
		}
		Entry third = new Entry(3);
		assertThat(second.suspects.digest()).isNotEqualTo(first.suspects.digest());
		int sent = 0;
		for (int round = 0; round < 900; round++) {
			this.now = this.now.plusSeconds(1);
			sent += heartbeat(second, first, random) + heartbeat(third, second, random);
		}
		for (Entry entry : List.of(second, third)) {
			assertThat(entry.suspects.digest()).isEqualTo(first.suspects.digest());
			for (int number = 0; number < SUSPECTS; number++) {
				assertThat(entry.suspects.decide(fingerprint(number))).isInstanceOf(SuspectDecision.Refused.class);
			}
		}
		assertThat(sent).isLessThan(20 * SUSPECTS);
		assertThat(first.exchange.digestReceived(second.incarnation, second.suspects.digest())).isEmpty();
	}

	// One entry cleared a request that the other still suspects. Their digests
	// differ until the suspect expires; records must not be sent with every
	// heartbeat.
	@Test
	void persistentDifferenceIsSentRarely() {
		Entry first = new Entry(1);
		Entry second = new Entry(2);
		first.crash(0, "a");
		second.suspects.merge(first.suspects.drainChanged());
		this.now = this.now.plusSeconds(1);
		second.suspects.attemptStarted(new RequestId("r"), fingerprint(0), new EndpointId("c"));
		second.suspects.attemptEnded(new RequestId("r"), new EndpointId("c"), true);
		int sent = 0;
		for (int round = 0; round < 600; round++) {
			this.now = this.now.plusSeconds(1);
			sent += heartbeat(second, first, new Random(1));
		}
		assertThat(sent).isBetween(1, 6);
		assertThat(second.suspects.decide(fingerprint(0))).isEqualTo(new SuspectDecision.NotSuspect());
	}

	private int heartbeat(Entry from, Entry to, Random random) {
		if (random.nextDouble() < LOSS_PROBABILITY) {
			return 0;
		}
		List<SuspectRecord> sent = new ArrayList<>(
				to.exchange.digestReceived(from.incarnation, from.suspects.digest()));
		for (SuspectRecord record : sent) {
			if (random.nextDouble() >= LOSS_PROBABILITY) {
				from.suspects.merge(List.of(record));
			}
		}
		return sent.size();
	}

	private static Fingerprint fingerprint(int number) {
		return new Fingerprint(number * 0x9E3779B97F4A7C15L, number);
	}

	private final class Entry {

		private final Incarnation incarnation;

		private final SuspectSystem suspects = new SuspectSystem(() -> SuspectExchangeTests.this.now, Duration.ZERO);

		private final SuspectExchange exchange = new SuspectExchange(this.suspects,
				() -> SuspectExchangeTests.this.now);

		Entry(int number) {
			this.incarnation = new Incarnation(new VmId("entry-" + number), number);
		}

		void crash(int number, String endpoint) {
			EndpointId id = new EndpointId(endpoint);
			this.suspects.attemptStarted(new RequestId("r" + number), fingerprint(number), id);
			this.suspects.endpointLost(id, new VmId("vm-" + endpoint), new ZoneName("z-" + endpoint));
			SuspectExchangeTests.this.now = SuspectExchangeTests.this.now.plusSeconds(5);
		}

	}

}
