package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.netty.buffer.ByteBuf;
import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.ObservedRateLimit;
import org.banyancove.gateway.endpoint.ObservedSlowdown;

/**
 * Writes and reads traffic totals in binary form. The names of client accounts are
 * written once, and the values of each window follow in the same order.
 * <p>
 * Totals are the last part of a message. The slowdowns at their end are left out if there
 * are none, and former versions of the program ignore what follows the rate limits, so
 * that both versions read each other's messages.
 */
final class TrafficTotalsCodec {

	/** Steps of a slowdown of 1: endpoints announce it in per cent. */
	private static final double SLOWDOWN_STEPS = 100;

	private TrafficTotalsCodec() {
	}

	static void write(ByteBuf out, TrafficTotals traffic) {
		List<AccountName> accounts = accounts(traffic);
		BinaryFields.writeVarint(out, accounts.size());
		for (AccountName account : accounts) {
			BinaryFields.writeText(out, account.value());
			BinaryFields.writeVarint(out, Math.round(traffic.quotaUsed().getOrDefault(account, 0.0)));
		}
		BinaryFields.writeVarint(out, traffic.usageCounts().size());
		traffic.usageCounts().forEach((window, counts) -> {
			BinaryFields.writeVarint(out, window);
			accounts.forEach((account) -> BinaryFields.writeVarint(out, counts.getOrDefault(account, 0L)));
		});
		BinaryFields.writeVarint(out, traffic.demand().size());
		traffic.demand().forEach((service, millis) -> {
			BinaryFields.writeText(out, service.value());
			BinaryFields.writeVarint(out, Math.round(millis));
		});
		writeLoads(out, traffic.loads());
		RolloutReportCodec.write(out, traffic.rollouts());
		writeRateLimits(out, traffic.rateLimits());
		if (!traffic.slowdowns().isEmpty()) {
			writeSlowdowns(out, traffic.slowdowns());
		}
	}

	// Ages are rounded up, so that a value does not seem newer with each transfer.
	private static void writeSlowdowns(ByteBuf out, Map<EndpointId, ObservedSlowdown> slowdowns) {
		BinaryFields.writeVarint(out, slowdowns.size());
		slowdowns.forEach((endpoint, slowdown) -> {
			BinaryFields.writeText(out, endpoint.value());
			BinaryFields.writeVarint(out, Math.max(1, Math.round(slowdown.value() * SLOWDOWN_STEPS)));
			BinaryFields.writeVarint(out, slowdown.age().plusNanos(999_999).toMillis());
			BinaryFields.writeVarint(out, slowdown.startedAt());
		});
	}

	private static void writeRateLimits(ByteBuf out, Map<EndpointId, ObservedRateLimit> limits) {
		BinaryFields.writeVarint(out, limits.size());
		limits.forEach((endpoint, limit) -> {
			BinaryFields.writeText(out, endpoint.value());
			Double requestsPerSecond = limit.requestsPerSecond();
			out.writeBoolean(requestsPerSecond != null);
			out.writeDouble((requestsPerSecond != null) ? requestsPerSecond : 0);
			BinaryFields.writeVarint(out, limit.age().toMillis());
		});
	}

	private static void writeLoads(ByteBuf out, Map<EndpointId, EndpointLoad> loads) {
		BinaryFields.writeVarint(out, loads.size());
		loads.forEach((endpoint, load) -> {
			BinaryFields.writeText(out, endpoint.value());
			BinaryFields.writeVarint(out, load.inFlight());
			BinaryFields.writeVarint(out, load.pendingPrefillTokens());
		});
	}

	private static List<AccountName> accounts(TrafficTotals traffic) {
		Set<AccountName> accounts = new TreeSet<>(traffic.quotaUsed().keySet());
		traffic.usageCounts().values().forEach((counts) -> accounts.addAll(counts.keySet()));
		return List.copyOf(accounts);
	}

	static TrafficTotals read(ByteBuf in) {
		List<AccountName> accounts = new ArrayList<>();
		Map<AccountName, Double> quotaUsed = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			AccountName account = new AccountName(BinaryFields.readText(in));
			accounts.add(account);
			quotaUsed.put(account, (double) BinaryFields.readVarint(in));
		}
		Map<Long, Map<AccountName, Long>> usageCounts = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			usageCounts.put(BinaryFields.readVarint(in), readCounts(in, accounts));
		}
		Map<ServiceName, Double> demand = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			demand.put(new ServiceName(BinaryFields.readText(in)), (double) BinaryFields.readVarint(in));
		}
		return new TrafficTotals(usageCounts, quotaUsed, demand, readLoads(in), RolloutReportCodec.read(in),
				readRateLimits(in), in.isReadable() ? readSlowdowns(in) : Map.of());
	}

	private static Map<EndpointId, ObservedSlowdown> readSlowdowns(ByteBuf in) {
		Map<EndpointId, ObservedSlowdown> slowdowns = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			EndpointId endpoint = new EndpointId(BinaryFields.readText(in));
			double value = BinaryFields.readVarint(in) / SLOWDOWN_STEPS;
			Duration age = Duration.ofMillis(BinaryFields.readVarint(in));
			slowdowns.put(endpoint, new ObservedSlowdown(value, age, BinaryFields.readVarint(in)));
		}
		return slowdowns;
	}

	private static Map<EndpointId, ObservedRateLimit> readRateLimits(ByteBuf in) {
		Map<EndpointId, ObservedRateLimit> limits = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			EndpointId endpoint = new EndpointId(BinaryFields.readText(in));
			boolean limited = in.readBoolean();
			double requestsPerSecond = in.readDouble();
			limits.put(endpoint, new ObservedRateLimit(limited ? requestsPerSecond : null,
					Duration.ofMillis(BinaryFields.readVarint(in))));
		}
		return limits;
	}

	private static Map<EndpointId, EndpointLoad> readLoads(ByteBuf in) {
		Map<EndpointId, EndpointLoad> loads = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			loads.put(new EndpointId(BinaryFields.readText(in)),
					new EndpointLoad(Math.toIntExact(BinaryFields.readVarint(in)), BinaryFields.readVarint(in)));
		}
		return loads;
	}

	private static Map<AccountName, Long> readCounts(ByteBuf in, List<AccountName> accounts) {
		Map<AccountName, Long> counts = new HashMap<>();
		for (AccountName account : accounts) {
			long count = BinaryFields.readVarint(in);
			if (count > 0) {
				counts.put(account, count);
			}
		}
		return counts;
	}

}
