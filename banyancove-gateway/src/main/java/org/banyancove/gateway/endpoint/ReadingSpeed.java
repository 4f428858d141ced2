package org.banyancove.gateway.endpoint;

/**
 * How fast an engine reads prompts when nobody else waits for it.
 * <p>
 * The load that it answers: a burst makes prompts wait for each other, so that the time
 * from sending to a first token grows with the queue. A mean of those times would take
 * the queue for slow engines and order several times as many. A quarter of the prompts
 * find the engine nearly idle, and their time is that of reading alone.
 */
final class ReadingSpeed {

	/** The part of the samples that is taken to have waited for nobody. */
	private static final double QUARTILE = 0.25;

	/**
	 * How far one sample moves the estimate, as a part of it: twenty samples halve it and
	 * sixty double it, a few seconds at an engine.
	 */
	private static final double STEP = 0.05;

	/** First guess, in ms a token; corrected by answers. */
	private static final double FIRST_MILLIS_PER_TOKEN = 0.02;

	private double millisPerToken = FIRST_MILLIS_PER_TOKEN;

	/**
	 * Learns from a prompt.
	 * @param sample the time to its first token by the tokens before it, in ms
	 */
	void learn(double sample) {
		double direction = (sample < this.millisPerToken) ? QUARTILE - 1 : QUARTILE;
		this.millisPerToken *= 1 + STEP * direction;
	}

	/**
	 * Returns the time to read a token.
	 * @return the time in ms
	 */
	double millisPerToken() {
		return this.millisPerToken;
	}

}
