package org.banyancove.gateway.configuration;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A service whose endpoints run requests.
 *
 * @param name its name
 * @param maxConnections the connections that one endpoint accepts from all gateways
 * @param generatesTokens whether its endpoints are model engines
 * @param cacheTokens the tokens that an engine's memory holds, 0 for a plain service
 * @param scaling what may be ordered, or {@code null} for a fixed service
 */
public record Service(ServiceName name, int maxConnections, boolean generatesTokens, long cacheTokens,
		@Nullable ScalingLimits scaling) {

	/**
	 * Creates the service.
	 * @throws IllegalArgumentException if {@code maxConnections} is below 1
	 */
	public Service {
		if (maxConnections < 1) {
			throw new IllegalArgumentException("maxConnections must be at least 1: " + maxConnections);
		}
	}

}
