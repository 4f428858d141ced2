package org.banyancove.gateway.exchange;

import java.util.List;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.rollout.ServingEndpoints;
import org.jspecify.annotations.Nullable;

/**
 * Binds the rest of a stream to the software version that wrote its first event.
 * <p>
 * What two versions write does not fit together. Until the first event is forwarded, any
 * version may serve the stream; from then on only its own.
 */
final class StreamContinuation {

	private final ServingEndpoints endpoints;

	private final ServiceName service;

	private @Nullable String version;

	StreamContinuation(ServingEndpoints endpoints, ServiceName service) {
		this.endpoints = endpoints;
		this.service = service;
	}

	/**
	 * Returns whether the caller has events of the stream.
	 * @return whether only one version may serve the rest
	 */
	boolean isBound() {
		return this.version != null;
	}

	/**
	 * Binds the stream to the version of an attempt whose first event is about to be
	 * forwarded.
	 * @param attempt the attempt
	 */
	void begin(Attempt attempt) {
		if (this.version == null) {
			this.version = attempt.version();
		}
	}

	/**
	 * Returns the endpoints that may serve the rest of the stream.
	 * @param now the current time
	 * @return the endpoints, including draining ones; empty if the version is unknown
	 * @throws IllegalStateException if the stream is not bound
	 */
	List<Endpoint> eligible(long now) {
		if (this.version == null) {
			throw new IllegalStateException("stream must be bound to a version");
		}
		return this.endpoints.ofVersion(this.service, this.version, now);
	}

}
