package org.banyancove.gateway.configuration;

import java.time.Duration;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the bytes of all headers of a request
 * @param maxBodyBytes the bytes of a body
 * @param headerTimeout from the first byte of a request to the end of its headers
 * @param idleTimeout how long a connection may stay idle between requests
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Holds until the first configuration is read; the usual figures of web servers. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if a size is not positive
	 */
	public CallerLimits {
		if (maxHeaderBytes <= 0 || maxBodyBytes <= 0) {
			throw new IllegalArgumentException(
					"maxHeaderBytes and maxBodyBytes must be positive: " + maxHeaderBytes + ", " + maxBodyBytes);
		}
	}

}
