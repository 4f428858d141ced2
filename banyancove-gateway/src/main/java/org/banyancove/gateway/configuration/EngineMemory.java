package org.banyancove.gateway.configuration;

/**
 * The KV cache memory of a service's model engines.
 *
 * @param tokens the capacity of an engine, in tokens
 * @param transferMillisPerToken the time to copy a token's memory from another engine, in
 * ms; infinite if engines cannot copy
 */
public record EngineMemory(long tokens, double transferMillisPerToken) {

	/**
	 * Creates the description.
	 * @throws IllegalArgumentException if a value is negative
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
