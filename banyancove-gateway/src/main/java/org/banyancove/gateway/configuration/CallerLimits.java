package org.banyancove.gateway.configuration;

import java.time.Duration;

/**
 * Limits on the size and time of callers' requests.
 *
 * @param maxHeaderBytes the maximum size of all headers of a request, in bytes
 * @param maxBodyBytes the maximum size of a body, in bytes
 * @param headerTimeout the maximum time from the first byte of a request to the end of
 * its headers
 * @param idleTimeout the maximum time that a connection may be idle between requests
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * The limits that apply until the first configuration is read; typical of web
	 * servers.
	 */
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
