package org.banyancove.gateway.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class PrefillLatencyTests {

	private static final double TRUE_MILLIS_PER_TOKEN = 0.0176;

	/** Ordering up to half more engines than needed is tolerated. */
	private static final double TOLERANCE_FACTOR = 1.5;

	private final SplittableRandom random = new SplittableRandom(11);

	// Guards against an estimate that includes queueing, since endpoints are ordered by
	// it. Prompts of 1,000 to 12,000 tokens arrive at an engine with a utilization of 0.7
	// and queue behind others, of which this gateway observes one in nine.
	@Test
	void queueingIsNotAttributedToTheEngine() {
		Engine engine = new Engine(0, TRUE_MILLIS_PER_TOKEN, 0.7 / 6500);
		engine.simulate(9000, 1000, 12_000);
		assertThat(engine.sum / engine.samples).as("the mean of all samples")
			.isGreaterThan(TOLERANCE_FACTOR * TRUE_MILLIS_PER_TOKEN);
		assertThat(engine.estimate.millisPerToken()).isBetween(TRUE_MILLIS_PER_TOKEN / TOLERANCE_FACTOR,
				TRUE_MILLIS_PER_TOKEN * TOLERANCE_FACTOR);
	}

	// Guards against attributing the fixed latency to prefill, which would order several
	// times the engines needed. Three requests in four have a prompt of a few hundred
	// tokens, whose time to first token is mostly the fixed latency.
	@Test
	void theFixedLatencyIsNotAttributedToPrefill() {
		double actualMillisPerToken = 0.009;
		Engine engine = new Engine(55, actualMillisPerToken, 0.4 / 3000);
		for (int i = 0; i < 3000; i++) {
			engine.simulate(3, 300, 1500);
			engine.simulate(1, 4000, 14_000);
		}
		assertThat(engine.estimate.millisPerToken()).isBetween(actualMillisPerToken / TOLERANCE_FACTOR,
				actualMillisPerToken * TOLERANCE_FACTOR);
		assertThat(engine.estimate.millis(0)).isBetween(55 / TOLERANCE_FACTOR, 55 * TOLERANCE_FACTOR);
	}

	// Guards against slow convergence at startup: a gateway that receives three prompts
	// per second orders endpoints as for engines half as fast until the estimate
	// converges, which must take at most ten seconds.
	@Test
	void theEstimateConvergesWithinThirtyPrompts() {
		double actualMillisPerToken = 0.007;
		Engine engine = new Engine(52, actualMillisPerToken, 0.3 / 3000);
		for (int i = 0; i < 60; i++) {
			engine.simulate(3, 200, 3000);
			engine.simulate(1, 4000, 14_000);
		}
		assertThat(engine.samples).isLessThan(30);
		assertThat(engine.estimate.millisPerToken()).isBetween(actualMillisPerToken / TOLERANCE_FACTOR,
				actualMillisPerToken * TOLERANCE_FACTOR);
		assertThat(engine.estimate.millis(0)).isBetween(52 / TOLERANCE_FACTOR, 52 * TOLERANCE_FACTOR);
	}

	@Test
	void theEstimateFollowsAnEngineThatBecomesSlow() {
		PrefillLatency estimate = new PrefillLatency();
		for (int i = 0; i < 100; i++) {
			estimate.addSample(10_000 * 4 * TRUE_MILLIS_PER_TOKEN, 10_000);
		}
		assertThat(estimate.millisPerToken()).isGreaterThan(2 * TRUE_MILLIS_PER_TOKEN);
	}

	// Guards against passes that are faster and estimate something else: endpoints are
	// ordered by the estimate. Both forms use one exponential, made of additions and
	// multiplications, and so round alike on any processor.
	@Test
	void theEstimateEqualsThatOfThePlainForm() {
		PrefillLatency estimate = new PrefillLatency();
		PlainForm plain = new PlainForm();
		for (int i = 0; i < 2000; i++) {
			int tokens = this.random.nextInt(20_000);
			double millis = this.random.nextDouble() * (i % 200 + 1) + 0.01 * tokens * this.random.nextDouble();
			estimate.addSample(millis, tokens);
			plain.addSample(millis, tokens);
			assertThat(estimate.millis(0)).isEqualTo(plain.fixedMillis);
			assertThat(estimate.millisPerToken()).isEqualTo(plain.millisPerToken);
		}
	}

	// Guards against a series that is too short for the exponents of the passes. Two
	// units
	// in the last place bound the rounding of both functions and the terms left out.
	@Test
	void theExponentialIsExactToItsRounding() {
		for (int i = 0; i < 100_000; i++) {
			double exponent = this.random.nextDouble(PrefillLatency.DECREASING_STEP, PrefillLatency.INCREASING_STEP);
			double expected = StrictMath.exp(exponent);
			assertThat(PrefillLatency.exponential(exponent)).isCloseTo(expected, within(2 * Math.ulp(expected)));
		}
	}

	/** The five passes over the last 64 samples, written plainly. */
	private static final class PlainForm {

		private final List<double[]> samples = new ArrayList<>();

		private double fixedMillis = 15;

		private double millisPerToken = 0.02;

		private void addSample(double millis, int tokens) {
			this.samples.add(new double[] { millis, tokens });
			for (int pass = 0; pass < 5; pass++) {
				this.samples.subList(Math.max(0, this.samples.size() - 64), this.samples.size()).forEach(this::adjust);
			}
		}

		private void adjust(double[] sample) {
			double expected = this.fixedMillis + this.millisPerToken * sample[1];
			double step = 0.02 * ((sample[0] < expected) ? -0.75 : 0.25);
			double fixedShare = this.fixedMillis / expected;
			this.fixedMillis *= PrefillLatency.exponential(step * fixedShare);
			this.millisPerToken *= PrefillLatency.exponential(step * (1 - fixedShare));
		}

	}

	/** An engine with a queue; one in nine of its first tokens is observed. */
	private final class Engine {

		private final PrefillLatency estimate = new PrefillLatency();

		private final double fixedMillis;

		private final double millisPerToken;

		private final double tokenUtilization;

		private double now;

		private double freeAt;

		private int sent;

		private double sum;

		private int samples;

		private Engine(double fixedMillis, double millisPerToken, double utilizationPerToken) {
			this.fixedMillis = fixedMillis;
			this.millisPerToken = millisPerToken;
			this.tokenUtilization = utilizationPerToken;
		}

		private void simulate(int requests, int minimumTokens, int maximumTokens) {
			for (int i = 0; i < requests; i++) {
				int tokens = minimumTokens + PrefillLatencyTests.this.random.nextInt(maximumTokens - minimumTokens);
				double gap = -Math.log(1 - PrefillLatencyTests.this.random.nextDouble());
				this.now += gap * this.millisPerToken / this.tokenUtilization;
				this.freeAt = Math.max(this.freeAt, this.now) + tokens * this.millisPerToken;
				if (this.sent++ % 9 == 0) {
					double millis = this.fixedMillis + this.freeAt - this.now;
					this.estimate.addSample(millis, tokens);
					this.sum += millis / tokens;
					this.samples++;
				}
			}
		}

	}

}
