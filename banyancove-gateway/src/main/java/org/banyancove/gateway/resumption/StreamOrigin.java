package org.banyancove.gateway.resumption;

import org.banyancove.core.ServiceName;

/**
 * What served the first event of a stream.
 *
 * @param service the service
 * @param version the software version of its endpoint
 */
public record StreamOrigin(ServiceName service, String version) {

	/**
	 * Creates the origin.
	 * @throws IllegalArgumentException if {@code version} is empty
	 */
	public StreamOrigin {
		if (version.isEmpty()) {
			throw new IllegalArgumentException("version must not be empty");
		}
	}

}
