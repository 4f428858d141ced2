package org.banyancove.core.ledger;

import org.banyancove.core.Incarnation;
import org.jspecify.annotations.Nullable;

/**
 * Whether this process has stopped accepting calls, and the process that receives its
 * undispatched calls.
 */
final class ShutdownState {

	private @Nullable Incarnation receiver;

	private boolean stopping;

	boolean inProgress() {
		return this.stopping || this.receiver != null;
	}

	boolean stopping() {
		return this.stopping;
	}

	void stop() {
		this.stopping = true;
	}

	@Nullable Incarnation receiver() {
		return this.receiver;
	}

	void receiver(Incarnation value) {
		this.receiver = value;
	}

}
