package org.banyancove.gateway.configuration;

import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * A service whose endpoints run requests.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that an endpoint accepts from
 * all gateways together
 * @param memory the memory of its engines, or {@code null} for a plain service
 * @param scaling the limits for ordering endpoints, or {@code null} if the service does
 * not scale
 * @param movesStreams whether its engines can move a run to another engine
 */
public record Service(ServiceName name, int maxConnections, @Nullable EngineMemory memory,
		@Nullable ScalingLimits scaling, boolean movesStreams) {

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
	 * Creates a service whose engines cannot move runs.
	 * @param name the service's name
	 * @param maxConnections the maximum number of connections that an endpoint accepts
	 * from all gateways together
	 * @param memory the memory of its engines, or {@code null} for a plain service
	 * @param scaling the limits for ordering endpoints, or {@code null} if the service
	 * does not scale
	 */
	public Service(ServiceName name, int maxConnections, @Nullable EngineMemory memory,
			@Nullable ScalingLimits scaling) {
		this(name, maxConnections, memory, scaling, false);
	}

	/**
	 * Returns whether the service's endpoints are model engines.
	 * @return {@code true} for model engines, {@code false} for a plain service
	 */
	public boolean generatesTokens() {
		return this.memory != null;
	}

}
