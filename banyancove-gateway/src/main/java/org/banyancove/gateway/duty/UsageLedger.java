package org.banyancove.gateway.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

import org.banyancove.core.AccountName;

/**
 * The fleet's counts of started requests, by usage window.
 * <p>
 * Counts only grow, and arrive from several sources: from a gateway itself, in the sums
 * of its group, and in the sums of the fleet. Each is at most the true count, since
 * reports may be missing, so the largest is kept. The counts of a process are retained
 * after it stops, since the requests it counted did run.
 */
final class UsageLedger {

	/** Windows that are retained for the usage report. */
	private static final int MAXIMUM_WINDOWS = 12;

	/** Windows that are included in summaries: older ones have already been reported. */
	private static final int SUMMARY_WINDOWS = 4;

	private final TreeMap<Long, Window> windows = new TreeMap<>();

	void addGateway(long incarnation, Map<Long, Map<AccountName, Long>> counts) {
		counts.forEach((number, accounts) -> mergeMaximum(
				window(number).gateways.computeIfAbsent(incarnation, (key) -> new HashMap<>()), accounts));
	}

	void addGroup(String group, Map<Long, Map<AccountName, Long>> counts) {
		counts.forEach((number, accounts) -> mergeMaximum(
				window(number).groups.computeIfAbsent(group, (key) -> new HashMap<>()), accounts));
	}

	void addFleet(Map<Long, Map<AccountName, Long>> counts) {
		counts.forEach((number, accounts) -> mergeMaximum(window(number).fleet, accounts));
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

	private static void mergeMaximum(Map<AccountName, Long> maximums, Map<AccountName, Long> counts) {
		counts.forEach((account, count) -> maximums.merge(account, count, Math::max));
	}

	/**
	 * Returns the number of requests started in the entire fleet during a window.
	 * @param number the window's number
	 * @return the number of requests by client account
	 */
	Map<AccountName, Long> counts(long number) {
		Window window = this.windows.get(number);
		return (window != null) ? window.total() : Map.of();
	}

	/**
	 * Returns the counts of the gateways in this gateway's group for the newest windows.
	 * @return the number of requests by window and client account
	 */
	Map<Long, Map<AccountName, Long>> recentGroupCounts() {
		Map<Long, Map<AccountName, Long>> recent = new HashMap<>();
		recentWindows().forEach((number, window) -> recent.put(number, window.gatewayTotal()));
		return recent;
	}

	/**
	 * Returns the counts of the entire fleet for the newest windows.
	 * @return the number of requests by window and client account
	 */
	Map<Long, Map<AccountName, Long>> recentFleetCounts() {
		Map<Long, Map<AccountName, Long>> recent = new HashMap<>();
		recentWindows().forEach((number, window) -> recent.put(number, window.total()));
		return recent;
	}

	private NavigableMap<Long, Window> recentWindows() {
		long last = this.windows.isEmpty() ? 0 : this.windows.lastKey();
		return this.windows.tailMap(last - SUMMARY_WINDOWS, false);
	}

	private static final class Window {

		private final Map<Long, Map<AccountName, Long>> gateways = new HashMap<>();

		private final Map<String, Map<AccountName, Long>> groups = new HashMap<>();

		private final Map<AccountName, Long> fleet = new HashMap<>();

		Map<AccountName, Long> gatewayTotal() {
			Map<AccountName, Long> sum = new HashMap<>();
			this.gateways.values().forEach((counts) -> add(sum, counts));
			return sum;
		}

		Map<AccountName, Long> total() {
			Map<AccountName, Long> total = gatewayTotal();
			this.groups.values().forEach((counts) -> add(total, counts));
			mergeMaximum(total, this.fleet);
			return total;
		}

		private static void add(Map<AccountName, Long> sum, Map<AccountName, Long> counts) {
			counts.forEach((account, count) -> sum.merge(account, count, Long::sum));
		}

	}

}
