package org.banyancove.gateway.exchange;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * A request that is deferred until the gateway has read its configuration.
 */
final class DeferredRequest implements InFlightRequest {

	private final Supplier<InFlightRequest> starter;

	private @Nullable InFlightRequest started;

	private boolean done;

	/**
	 * Creates a deferred request.
	 * @param starter starts processing the request
	 */
	DeferredRequest(Supplier<InFlightRequest> starter) {
		this.starter = starter;
	}

	/**
	 * Starts processing the request, unless it was started before or its caller has
	 * disconnected.
	 */
	void start() {
		if (!this.done) {
			this.done = true;
			this.started = this.starter.get();
		}
	}

	@Override
	public void callerDisconnected() {
		this.done = true;
		if (this.started != null) {
			this.started.callerDisconnected();
		}
	}

	@Override
	public void callerWritable() {
		if (this.started != null) {
			this.started.callerWritable();
		}
	}

}
