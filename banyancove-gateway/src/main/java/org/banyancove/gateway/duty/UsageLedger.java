package org.banyancove.gateway.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

import org.banyancove.core.AccountName;

/**
 * The fleet's counts of requests that began to run, by usage window.
 * <p>
 * Counts only grow, and arrive by several ways: from a gateway itself, in its group's
 * sums, and in the fleet's. Each is at most the true count, since some reports may be
 * missing, so the largest is kept. Counts stay when their process is gone: what it
 * counted did run.
 */
final class UsageLedger {

	/** Windows that are kept for the usage report. */
	private static final int MAXIMUM_WINDOWS = 12;

	/** Windows that are repeated in summaries: older ones have been reported. */
	private static final int REPEATED_WINDOWS = 4;

	private final TreeMap<Long, Window> windows = new TreeMap<>();

	void addGateway(long incarnation, Map<Long, Map<AccountName, Long>> counts) {
		counts.forEach((number, accounts) -> keepLargest(
				window(number).gateways.computeIfAbsent(incarnation, (key) -> new HashMap<>()), accounts));
	}

	void addGroup(String group, Map<Long, Map<AccountName, Long>> counts) {
		counts.forEach((number, accounts) -> keepLargest(
				window(number).groups.computeIfAbsent(group, (key) -> new HashMap<>()), accounts));
	}

	void addFleet(Map<Long, Map<AccountName, Long>> counts) {
		counts.forEach((number, accounts) -> keepLargest(window(number).fleet, accounts));
	}

	void retainGroups(Set<String> groups) {
		this.windows.values().forEach((window) -> window.groups.keySet().retainAll(groups));
	}

	private Window window(long number) {
		Window window = this.windows.computeIfAbsent(number, (key) -> new Window());
		while (this.windows.size() > MAXIMUM_WINDOWS) {
			this.windows.pollFirstEntry();
		}
		return window;
	}

	private static void keepLargest(Map<AccountName, Long> known, Map<AccountName, Long> counts) {
		counts.forEach((account, count) -> known.merge(account, count, Math::max));
	}

	/**
	 * Returns what the whole fleet counted in a window.
	 * @param number the window's number
	 * @return the requests by client account
	 */
	Map<AccountName, Long> counted(long number) {
		Window window = this.windows.get(number);
		return (window != null) ? window.total() : Map.of();
	}

	/**
	 * Returns the newest windows of the gateways that report here.
	 * @return the requests by window and client account
	 */
	Map<Long, Map<AccountName, Long>> newestOfGroup() {
		Map<Long, Map<AccountName, Long>> newest = new HashMap<>();
		newest().forEach((number, window) -> newest.put(number, window.ofGateways()));
		return newest;
	}

	/**
	 * Returns the newest windows of the fleet.
	 * @return the requests by window and client account
	 */
	Map<Long, Map<AccountName, Long>> newestOfFleet() {
		Map<Long, Map<AccountName, Long>> newest = new HashMap<>();
		newest().forEach((number, window) -> newest.put(number, window.total()));
		return newest;
	}

	private NavigableMap<Long, Window> newest() {
		long last = this.windows.isEmpty() ? 0 : this.windows.lastKey();
		return this.windows.tailMap(last - REPEATED_WINDOWS, false);
	}

	private static final class Window {

		private final Map<Long, Map<AccountName, Long>> gateways = new HashMap<>();

		private final Map<String, Map<AccountName, Long>> groups = new HashMap<>();

		private final Map<AccountName, Long> fleet = new HashMap<>();

		Map<AccountName, Long> ofGateways() {
			Map<AccountName, Long> sum = new HashMap<>();
			this.gateways.values().forEach((counts) -> add(sum, counts));
			return sum;
		}

		Map<AccountName, Long> total() {
			Map<AccountName, Long> total = ofGateways();
			this.groups.values().forEach((counts) -> add(total, counts));
			keepLargest(total, this.fleet);
			return total;
		}

		private static void add(Map<AccountName, Long> sum, Map<AccountName, Long> counts) {
			counts.forEach((account, count) -> sum.merge(account, count, Long::sum));
		}

	}

}
