package org.banyancove.core.entry;

import java.util.function.Consumer;

import org.banyancove.core.RequestId;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.handover.HandoverSystem;

/**
 * Requests a copy of each request at a second entry before the request counts as
 * accepted. Requests that begin while this process stops are accepted without a copy.
 */
final class HoldSystem {

	private final HandoverSystem handover;

	private final Consumer<RequestId> accepted;

	HoldSystem(HandoverSystem handover, Consumer<RequestId> accepted) {
		this.handover = handover;
		this.accepted = accepted;
	}

	void offer(RequestEntity request) {
		request.phase = RequestPhase.HOLDING;
		if (this.handover.isStopping()) {
			this.accepted.accept(request.id());
			return;
		}
		this.handover.offer(request.held());
	}

	void ended(RequestId request, long totalOffset, EndOfAnswer end) {
		this.handover.ended(request, totalOffset, end);
	}

}
