package org.banyancove.gateway.exchange;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * A request that waits until the gateway knows the configuration.
 */
final class HeldRequest implements ResponseSubscription {

	private final Supplier<ResponseSubscription> beginning;

	private @Nullable ResponseSubscription begun;

	private boolean released;

	/**
	 * Holds a request.
	 * @param beginning begins to answer it
	 */
	HeldRequest(Supplier<ResponseSubscription> beginning) {
		this.beginning = beginning;
	}

	/**
	 * Begins to answer the request, unless its caller has left or that was done before.
	 */
	void release() {
		if (!this.released) {
			this.released = true;
			this.begun = this.beginning.get();
		}
	}

	@Override
	public void callerLeft() {
		this.released = true;
		if (this.begun != null) {
			this.begun.callerLeft();
		}
	}

}
