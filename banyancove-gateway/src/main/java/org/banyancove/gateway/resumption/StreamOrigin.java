package org.banyancove.gateway.resumption;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * What served the first event of a stream.
 *
 * @param service the service
 * @param version the software version of its endpoint; empty if unknown
 * @param endpoint the endpoint, or {@code null} if only the version is known
 */
public record StreamOrigin(ServiceName service, String version, @Nullable EndpointId endpoint) {

	/**
	 * Returns whether the version is known. An unknown one equals no other.
	 * @return whether the endpoint's entry states it
	 */
	public boolean hasVersion() {
		return !this.version.isEmpty();
	}

}
