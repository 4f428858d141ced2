package org.banyancove.gateway.endpoint;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PrefillLatencyTests {

	private static final double TRUE_MILLIS_PER_TOKEN = 0.0176;

	/** An order for half as many engines again as are needed is the most allowed. */
	private static final double MOST_OVER = 1.5;

	private final SplittableRandom random = new SplittableRandom(11);

	// Prompts of 1,000 to 12,000 tokens come to an engine that is busy for seven tenths
	// of its time. Callers wait for those before them, of which this gateway sees one in
	// nine. The estimate, by which endpoints are ordered, must not grow with the queue.
	@Test
	void aQueueIsNotTakenForASlowEngine() {
		Engine engine = new Engine(0, TRUE_MILLIS_PER_TOKEN, 0.7 / 6500);
		engine.play(9000, 1000, 12_000);
		assertThat(engine.sum / engine.samples).as("the mean of all samples")
			.isGreaterThan(MOST_OVER * TRUE_MILLIS_PER_TOKEN);
		assertThat(engine.estimate.millisPerToken()).isBetween(TRUE_MILLIS_PER_TOKEN / MOST_OVER,
				TRUE_MILLIS_PER_TOKEN * MOST_OVER);
	}

	// Three requests in four have a prompt of a few hundred tokens and wait mostly for
	// the fixed part of their first token. Taken for prefill, it would claim several
	// times the engine time that all prompts need, and as many engines would be ordered.
	@Test
	void theFixedPartOfAFirstTokenIsNotTakenForPrefill() {
		double fast = 0.009;
		Engine engine = new Engine(55, fast, 0.4 / 3000);
		for (int i = 0; i < 3000; i++) {
			engine.play(3, 300, 1500);
			engine.play(1, 4000, 14_000);
		}
		assertThat(engine.estimate.millisPerToken()).isBetween(fast / MOST_OVER, fast * MOST_OVER);
		assertThat(engine.estimate.millis(0)).isBetween(55 / MOST_OVER, 55 * MOST_OVER);
	}

	// A gateway starts and gets three prompts a second. Until it knows how fast its
	// engines
	// are, it orders for engines half as fast, so it must know within ten seconds.
	@Test
	void thirtyPromptsTellAProcessThatHasJustStarted() {
		double fast = 0.007;
		Engine engine = new Engine(52, fast, 0.3 / 3000);
		for (int i = 0; i < 60; i++) {
			engine.play(3, 200, 3000);
			engine.play(1, 4000, 14_000);
		}
		assertThat(engine.samples).isLessThan(30);
		assertThat(engine.estimate.millisPerToken()).isBetween(fast / MOST_OVER, fast * MOST_OVER);
		assertThat(engine.estimate.millis(0)).isBetween(52 / MOST_OVER, 52 * MOST_OVER);
	}

	@Test
	void anEngineThatTurnsSlowIsNoticedWithinAFewSeconds() {
		PrefillLatency estimate = new PrefillLatency();
		for (int i = 0; i < 100; i++) {
			estimate.learn(10_000 * 4 * TRUE_MILLIS_PER_TOKEN, 10_000);
		}
		assertThat(estimate.millisPerToken()).isGreaterThan(2 * TRUE_MILLIS_PER_TOKEN);
	}

	/** An engine with a queue, one in nine of whose first tokens is seen. */
	private final class Engine {

		private final PrefillLatency estimate = new PrefillLatency();

		private final double fixedMillis;

		private final double millisPerToken;

		private final double tokenShare;

		private double now;

		private double freeAt;

		private int sent;

		private double sum;

		private int samples;

		private Engine(double fixedMillis, double millisPerToken, double utilizationPerToken) {
			this.fixedMillis = fixedMillis;
			this.millisPerToken = millisPerToken;
			this.tokenShare = utilizationPerToken;
		}

		private void play(int requests, int fewestTokens, int mostTokens) {
			for (int i = 0; i < requests; i++) {
				int tokens = fewestTokens + PrefillLatencyTests.this.random.nextInt(mostTokens - fewestTokens);
				double gap = -Math.log(1 - PrefillLatencyTests.this.random.nextDouble());
				this.now += gap * this.millisPerToken / this.tokenShare;
				this.freeAt = Math.max(this.freeAt, this.now) + tokens * this.millisPerToken;
				if (this.sent++ % 9 == 0) {
					double millis = this.fixedMillis + this.freeAt - this.now;
					this.estimate.learn(millis, tokens);
					this.sum += millis / tokens;
					this.samples++;
				}
			}
		}

	}

}
