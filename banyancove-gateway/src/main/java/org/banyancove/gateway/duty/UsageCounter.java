package org.banyancove.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.banyancove.core.AccountName;

/**
 * Counts the requests started by this process, by window of wall-clock time.
 */
public final class UsageCounter {

	/**
	 * Windows that are included in reports: the other gateways have already received
	 * older ones.
	 */
	private static final int MAXIMUM_WINDOWS = 4;

	private final Duration window;

	private final TreeMap<Long, Map<AccountName, Long>> counts = new TreeMap<>();

	/**
	 * Creates a counter.
	 * @param window the length of a window
	 */
	public UsageCounter(Duration window) {
		this.window = window;
	}

	/**
	 * Returns the number of the window that contains an instant; windows are numbered
	 * from the epoch.
	 * @param instant the instant
	 * @return the window's number
	 */
	public long windowOf(Instant instant) {
		return Math.floorDiv(instant.toEpochMilli(), this.window.toMillis());
	}

	/**
	 * Counts a started request.
	 * @param account its client account
	 * @param instant the time at which it started
	 */
	public void recordStart(AccountName account, Instant instant) {
		this.counts.computeIfAbsent(windowOf(instant), (number) -> new HashMap<>()).merge(account, 1L, Long::sum);
		while (this.counts.size() > MAXIMUM_WINDOWS) {
			this.counts.pollFirstEntry();
		}
	}

	/**
	 * Returns a copy of the counts.
	 * @return the number of requests by window and client account
	 */
	public Map<Long, Map<AccountName, Long>> counts() {
		Map<Long, Map<AccountName, Long>> copy = new TreeMap<>();
		this.counts.forEach((number, accounts) -> copy.put(number, Map.copyOf(accounts)));
		return copy;
	}

}
