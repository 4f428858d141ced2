package org.banyancove.core.ledger;

import java.util.HashMap;
import java.util.Map;

import org.banyancove.core.RequestId;
import org.banyancove.core.ledger.KeyWork.OwnClaim;
import org.jspecify.annotations.Nullable;

/**
 * The calls of this process running at endpoints, by dispatched request.
 */
final class DispatchTable {

	private final Map<RequestId, Dispatch> dispatches = new HashMap<>();

	void add(RequestId request, Dispatch dispatch) {
		this.dispatches.put(request, dispatch);
	}

	@Nullable Dispatch find(RequestId request) {
		return this.dispatches.get(request);
	}

	@Nullable Dispatch remove(RequestId request) {
		return this.dispatches.remove(request);
	}

	boolean contains(RequestId request) {
		return this.dispatches.containsKey(request);
	}

	int size() {
		return this.dispatches.size();
	}

	/** A call running at an endpoint, with the claim that permits it. */
	record Dispatch(KeyWork pendingKey, OwnClaim claim) {

	}

}
