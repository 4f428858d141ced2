package org.banyancove.gateway.endpoint;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadingSpeedTests {

	private static final double TRUE_MILLIS_PER_TOKEN = 0.0176;

	/** An order for half as many engines again as are needed is the most allowed. */
	private static final double MOST_OVER = 1.5;

	private final SplittableRandom random = new SplittableRandom(11);

	// Prompts of 1,000 to 12,000 tokens come to an engine that is busy for seven tenths
	// of
	// its time. Callers wait for those before them, of which this gateway sees one in
	// nine. The estimate of the engine's own speed, by which endpoints are ordered, must
	// not grow with the queue.
	@Test
	void aQueueIsNotTakenForASlowEngine() {
		ReadingSpeed speed = new ReadingSpeed();
		double sum = 0;
		double free = 0;
		double now = 0;
		int samples = 0;
		for (int i = 0; i < 9000; i++) {
			int tokens = 1000 + this.random.nextInt(11_000);
			now += -Math.log(1 - this.random.nextDouble()) * 6500 * TRUE_MILLIS_PER_TOKEN / 0.7;
			free = Math.max(free, now) + tokens * TRUE_MILLIS_PER_TOKEN;
			if (i % 9 == 0) {
				double sample = (free - now) / tokens;
				speed.learn(sample);
				sum += sample;
				samples++;
			}
		}
		assertThat(sum / samples).as("the mean of all samples").isGreaterThan(MOST_OVER * TRUE_MILLIS_PER_TOKEN);
		assertThat(speed.millisPerToken()).isBetween(TRUE_MILLIS_PER_TOKEN / MOST_OVER,
				TRUE_MILLIS_PER_TOKEN * MOST_OVER);
	}

	@Test
	void anEngineThatTurnsSlowIsNoticedWithinAFewSeconds() {
		ReadingSpeed speed = new ReadingSpeed();
		for (int i = 0; i < 100; i++) {
			speed.learn(4 * TRUE_MILLIS_PER_TOKEN);
		}
		assertThat(speed.millisPerToken()).isGreaterThan(2 * TRUE_MILLIS_PER_TOKEN);
	}

}
