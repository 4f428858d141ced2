package org.banyancove.gateway.configuration;

/**
 * What is known of the memory of a service's model engines.
 *
 * @param tokens the tokens that an engine holds
 * @param transferMillisPerToken the time in which one engine copies a token's memory from
 * another, in ms; infinite if they cannot
 */
public record EngineMemory(long tokens, double transferMillisPerToken) {

	/**
	 * Creates the description.
	 * @throws IllegalArgumentException if a figure is negative
	 */
	public EngineMemory {
		if (tokens < 0) {
			throw new IllegalArgumentException("tokens must not be negative: " + tokens);
		}
		if (!(transferMillisPerToken >= 0)) {
			throw new IllegalArgumentException(
					"transferMillisPerToken must not be negative: " + transferMillisPerToken);
		}
	}

}
