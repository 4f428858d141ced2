package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.banyancove.core.AccountName;
import org.banyancove.core.ServiceName;

/**
 * What the gateways told of themselves.
 * <p>
 * Counts stay when their process is gone: what it counted did run. Everything else is
 * forgotten after a few seconds of silence.
 */
public final class GatewayBoard {

	/** Silence after which a gateway counts as gone: a few missed reports. */
	private static final Duration SILENCE = Duration.ofMillis(4500);

	/** Windows that are kept for the usage report. */
	private static final int MOST_WINDOWS = 12;

	private final Map<Long, Heard> heard = new HashMap<>();

	private final TreeMap<Long, Map<Long, Map<AccountName, Long>>> counts = new TreeMap<>();

	/**
	 * Takes in a report.
	 * @param report the report
	 * @param now when it was read, on the steady clock
	 */
	public void read(GatewayReport report, long now) {
		this.heard.put(report.incarnation(), new Heard(report, now));
		report.counts()
			.forEach((window, accounts) -> this.counts.computeIfAbsent(window, (number) -> new HashMap<>())
				.put(report.incarnation(), accounts));
		while (this.counts.size() > MOST_WINDOWS) {
			this.counts.pollFirstEntry();
		}
	}

	/**
	 * Forgets the gateways that fell silent.
	 * @param now the present time
	 */
	public void expire(long now) {
		this.heard.values().removeIf((entry) -> now - entry.at() > SILENCE.toNanos());
	}

	/**
	 * Returns the gateways that were heard of late, without one.
	 * @param own the process to leave out
	 * @return the number
	 */
	public int others(long own) {
		return (int) this.heard.keySet().stream().filter((incarnation) -> incarnation != own).count();
	}

	/**
	 * Returns what the other gateways were asked for.
	 * @param own the process to leave out
	 * @return the demand, a second, by client account
	 */
	public Map<AccountName, Double> othersDemand(long own) {
		Map<AccountName, Double> total = new HashMap<>();
		this.heard.forEach((incarnation, entry) -> {
			if (incarnation != own) {
				entry.report().demand().forEach((account, demand) -> total.merge(account, demand, Double::sum));
			}
		});
		return total;
	}

	/**
	 * Returns the requests of all gateways at the endpoints of a service.
	 * @param service the service
	 * @return the requests
	 */
	public int inFlight(ServiceName service) {
		return this.heard.values()
			.stream()
			.mapToInt((entry) -> entry.report().inFlight().getOrDefault(service, 0))
			.sum();
	}

	/**
	 * Returns what all gateways counted in a window.
	 * @param window the window's number
	 * @return the requests by client account
	 */
	public Map<AccountName, Long> counted(long window) {
		Map<AccountName, Long> total = new HashMap<>();
		this.counts.getOrDefault(window, Map.of())
			.values()
			.forEach((accounts) -> accounts.forEach((account, count) -> total.merge(account, count, Long::sum)));
		return total;
	}

	private record Heard(GatewayReport report, long at) {
	}

}
