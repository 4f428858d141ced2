package org.banyancove.gateway.waiting;

import java.util.Comparator;

/**
 * An entry of a {@link WaitingQueue}.
 *
 * @param request the request
 * @param account its account
 * @param sequence orders entries with the same latest start by their arrival
 */
record WaitingEntry(WaitingRequest request, ServedAccount account, long sequence) {

	/** Orders entries by the latest start, which may overflow as a monotonic time. */
	static final Comparator<WaitingEntry> EARLIEST_LATEST_START = (first, second) -> {
		long difference = first.request().latestStartAt() - second.request().latestStartAt();
		return (difference != 0) ? Long.signum(difference) : Long.compare(first.sequence(), second.sequence());
	};

}
