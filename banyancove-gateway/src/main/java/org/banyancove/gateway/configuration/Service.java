package org.banyancove.gateway.configuration;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A service whose endpoints run requests.
 *
 * @param name its name
 * @param maxConnections the connections that one endpoint accepts from all gateways
 * @param memory the memory of its engines, or {@code null} for a plain service
 * @param scaling what may be ordered, or {@code null} for a fixed service
 */
public record Service(ServiceName name, int maxConnections, @Nullable EngineMemory memory,
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

	/**
	 * Returns whether its endpoints are model engines.
	 * @return whether they are
	 */
	public boolean generatesTokens() {
		return this.memory != null;
	}

}
