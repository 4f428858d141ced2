package org.banyancove.gateway.endpoint;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.EngineMemory;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class EndpointLatencyTests {

	private static final int SLOTS = 16;

	private static final long START = Duration.ofMinutes(1).toNanos();

	private static final Prompt PROMPT = new Prompt(List.of(), 2000, 100);

	// Guards against services whose endpoints announce no slowdown and that are served
	// differently since slowdowns are known.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void predictionsWithoutAnnouncementsAreThoseOfTheFormerCode(boolean engine) {
		Endpoint endpoint = endpoint(engine, 1);
		FormerPrediction former = new FormerPrediction(engine);
		SplittableRandom random = new SplittableRandom(3);
		long now = START;
		for (int i = 0; i < 3000; i++) {
			now += random.nextLong(Duration.ofMillis(300).toNanos());
			Duration elapsed = Duration.ofNanos(random.nextLong(Duration.ofSeconds(1).toNanos()));
			int tokens = random.nextInt(12_000);
			switch (random.nextInt(4)) {
				case 0 -> {
					endpoint.latency().recordTimeToFirstToken(elapsed, tokens, now);
					former.recordTimeToFirstToken(elapsed, tokens, now);
				}
				case 1 -> {
					endpoint.latency().recordResponseTime(elapsed, now);
					former.recordResponseTime(elapsed);
				}
				case 2 -> {
					former.remoteInFlight = random.nextInt(30);
					former.remoteTokens = tokens;
					endpoint.updateRemoteLoad(former.remoteInFlight, tokens);
				}
				default -> {
					LoadReport report = new LoadReport(random.nextInt(40), random.nextInt(3), SLOTS, null);
					endpoint.updateLoad(report, now);
					former.updateLoad(report, now);
				}
			}
			assertThat(endpoint.predictedMillis(PROMPT, tokens, now)).isEqualTo(former.predictedMillis(tokens, now));
			assertThat(endpoint.serviceTimeMillis(tokens)).isEqualTo(former.serviceTimeMillis(tokens));
		}
	}

	// Guards against a slowdown that is counted twice, as the announced value and as the
	// speed that is learned from the first tokens that it delays.
	@ParameterizedTest
	@ValueSource(doubles = { 2.5, 0.5 })
	void anAnnouncedSlowdownIsNotLearnedAsWell(double slowdown) {
		Endpoint endpoint = endpoint(true, 1);
		double usual = endpoint.predictedMillis(PROMPT, 2000, START);
		for (int i = 0; i < 30; i++) {
			endpoint.updateLoad(new LoadReport(0, 0, SLOTS, slowdown), START);
			double predicted = endpoint.predictedMillis(PROMPT, 2000, START);
			assertThat(predicted).isCloseTo(slowdown * usual, within(0.02 * slowdown * usual));
			endpoint.latency().recordTimeToFirstToken(Duration.ofNanos((long) (slowdown * usual * 1e6)), 2000, START);
		}
		long later = START + Duration.ofSeconds(6).toNanos();
		assertThat(endpoint.predictedMillis(PROMPT, 2000, later)).isCloseTo(usual, within(0.02 * usual));
	}

	@Test
	void theLearnedSpeedAndTheAnnouncedSlowdownAreMultiplied() {
		Endpoint endpoint = endpoint(true, 1);
		for (int i = 0; i < 10; i++) {
			endpoint.latency().recordTimeToFirstToken(Duration.ofMillis(150), 2000, START);
		}
		double learned = endpoint.predictedMillis(PROMPT, 2000, START);
		endpoint.updateLoad(new LoadReport(0, 0, SLOTS, 2.0), START);
		assertThat(endpoint.predictedMillis(PROMPT, 2000, START)).isEqualTo(2 * learned);
	}

	@Test
	void responsesOfAPlainServiceAreSlowedToo() {
		Endpoint endpoint = endpoint(false, 1);
		double usual = endpoint.predictedMillis(PROMPT, 0, START);
		endpoint.updateLoad(new LoadReport(0, 0, SLOTS, 2.0), START);
		endpoint.latency().recordResponseTime(Duration.ofNanos((long) (2 * usual * 1e6)), START);
		assertThat(endpoint.predictedMillis(PROMPT, 0, START)).isCloseTo(2 * usual, within(1e-6));
		assertThat(endpoint.serviceTimeMillis(0)).isCloseTo(usual, within(1e-6));
	}

	// Guards against a restarted endpoint that is avoided because of what its former
	// process announced, here or in reports that arrive after the restart.
	@Test
	void theAnnouncementsOfAProcessEndWithIt() {
		Endpoint endpoint = endpoint(true, 1);
		endpoint.updateLoad(new LoadReport(0, 0, SLOTS, 2.5), START);
		ObservedSlowdown former = new ObservedSlowdown(2.5, Duration.ZERO, 1);
		endpoint.update(entry(2));
		endpoint.observeSlowdown(former, START);
		assertThat(endpoint.latency().slowdown().announced()).isFalse();
		assertThat(endpoint.latency().slowdown().current(START)).isEqualTo(1);
		assertThat(endpoint.observedSlowdown(START)).isNull();
		endpoint.observeSlowdown(new ObservedSlowdown(2.5, Duration.ZERO, 2), START);
		assertThat(endpoint.latency().slowdown().current(START)).isEqualTo(2.5);
		assertThat(endpoint.partition().slowdownAnnounced()).isTrue();
	}

	private static EndpointEntry entry(long startedAt) {
		return new EndpointEntry(new EndpointId("e"), new ServiceName("service"), "v1",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), new DataCenterName("a"), SLOTS, false,
				false, startedAt);
	}

	private static Endpoint endpoint(boolean engine, long startedAt) {
		EngineMemory memory = engine ? new EngineMemory(600_000, 0.0005) : null;
		return new Endpoint(entry(startedAt), memory, new PrefillLatency(), new RejectionTolerance(),
				new FleetAllocation("gateway", () -> List.of("gateway")), new EndpointPartition());
	}

	/**
	 * The prediction as it was before endpoints announced a slowdown.
	 */
	private static final class FormerPrediction {

		private final PrefillLatency prefillLatency = new PrefillLatency();

		private final boolean engine;

		private double slowdown = 1;

		private long slowdownAt;

		private double responseMillis = 30;

		private int remoteInFlight;

		private long remoteTokens;

		private @Nullable LoadReport report;

		private double unattributed;

		private long reportedAt;

		FormerPrediction(boolean engine) {
			this.engine = engine;
		}

		void recordTimeToFirstToken(Duration elapsed, long tokens, long now) {
			double millis = elapsed.toNanos() / 1e6;
			double sample = Math.clamp(millis / this.prefillLatency.millis(tokens), 0.2, 20.0);
			double previous = slowdown(now);
			this.slowdown = previous + 0.1 * (sample - previous);
			this.slowdownAt = now;
			this.prefillLatency.addSample(millis, tokens);
		}

		private double slowdown(long now) {
			return 1 + (this.slowdown - 1) * Math.exp((double) (this.slowdownAt - now) / 5e9);
		}

		void recordResponseTime(Duration elapsed) {
			this.responseMillis += 0.1 * (elapsed.toNanos() / 1e6 - this.responseMillis);
		}

		void updateLoad(LoadReport newReport, long now) {
			this.report = newReport;
			this.unattributed = Math.max(0, newReport.running() + newReport.waiting() - this.remoteInFlight);
			this.reportedAt = now;
		}

		double serviceTimeMillis(int tokens) {
			return this.engine ? this.prefillLatency.millisPerToken() * tokens : this.responseMillis;
		}

		double predictedMillis(int prefillTokens, long now) {
			double weight = (this.report != null) ? Math.exp((this.reportedAt - now) / 2e9) : 0;
			double running = this.remoteInFlight + this.unattributed * weight;
			if (!this.engine) {
				double occupancy = Math.max(1, (running + 1) / SLOTS);
				return this.responseMillis * occupancy;
			}
			double waiting = (this.report != null) ? this.report.waiting() : 0;
			double reportedTokens = waiting * weight * PROMPT.inputTokens();
			double queuedAhead = Math.max((double) this.remoteTokens, reportedTokens);
			double waitingForSlot = Math.max(0, running + 1 - SLOTS) * PROMPT.inputTokens();
			long tokens = Math.round(queuedAhead + waitingForSlot) + prefillTokens;
			return slowdown(now) * this.prefillLatency.millis(tokens) + 0.4 * running;
		}

	}

}
