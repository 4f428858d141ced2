package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;

/**
 * The state of the other gateways as reported to this gateway.
 * <p>
 * An aggregator adds up the reports of the gateways in its group and the summaries of the
 * other groups. Any other gateway receives the fleet's summary from its aggregators and
 * subtracts itself. Loads expire after a few missed reports. A gateway remains a member
 * of the fleet for longer, since it may still be serving on the other side of a network
 * partition.
 * <p>
 * Times are in nanoseconds of the monotonic clock.
 */
public final class PeerTable {

	/** Time without reports after which a gateway's loads expire. */
	private static final Duration REACHABLE_TIMEOUT = Duration.ofMillis(1500);

	/**
	 * Time without reports after which a gateway is removed from the fleet: longer than
	 * most network partitions.
	 */
	private static final Duration MEMBER_TIMEOUT = Duration.ofSeconds(12);

	/**
	 * Time without reports after which a gateway is considered unresponsive, until a
	 * timeout is configured.
	 */
	private static final Duration INITIAL_RESPONSE_TIMEOUT = Duration.ofMillis(600);

	private final Map<Long, Member> members = new HashMap<>();

	private final Map<String, AggregatorSummaries> groups = new HashMap<>();

	private final AggregatorSummaries fleet = new AggregatorSummaries(REACHABLE_TIMEOUT);

	private final UsageLedger usageLedger = new UsageLedger();

	private final Map<AccountName, Double> quotaUsedByMembers = new HashMap<>();

	private final Map<AccountName, Double> quotaUsedByGroups = new HashMap<>();

	private final long incarnation;

	private final DataCenterName dataCenter;

	private GatewayReport own;

	private Duration responseTimeout = INITIAL_RESPONSE_TIMEOUT;

	private boolean aggregator = true;

	/**
	 * Creates an empty table.
	 * @param incarnation the incarnation of this process
	 * @param dataCenter the data centre of this gateway
	 */
	public PeerTable(long incarnation, DataCenterName dataCenter) {
		this.incarnation = incarnation;
		this.dataCenter = dataCenter;
		this.own = new GatewayReport(incarnation, dataCenter, TrafficTotals.NONE, false, SharedStateVersion.NONE);
	}

	/**
	 * Sets this gateway's own report.
	 * @param report the report
	 */
	public void setOwnReport(GatewayReport report) {
		this.own = report;
		this.usageLedger.addGateway(report.incarnation(), report.traffic().usageCounts());
	}

	/**
	 * Sets this gateway's role and removes the summaries of groups that no longer exist.
	 * @param newAggregator whether this gateway is an aggregator of its group
	 * @param knownGroups the groups of the fleet
	 * @param newResponseTimeout the time without reports after which a gateway is
	 * considered unresponsive
	 */
	public void configure(boolean newAggregator, Set<String> knownGroups, Duration newResponseTimeout) {
		this.aggregator = newAggregator;
		this.responseTimeout = newResponseTimeout;
		this.groups.keySet().retainAll(knownGroups);
		this.usageLedger.retainGroups(knownGroups);
	}

	/**
	 * Records the report of a gateway of the same group, or of any gateway in a small
	 * fleet.
	 * @param report the report
	 * @param now the time of receipt
	 * @return the quota used at other gateways that is to be charged here, by client
	 * account
	 */
	public Map<AccountName, Double> receive(GatewayReport report, long now) {
		this.usageLedger.addGateway(report.incarnation(), report.traffic().usageCounts());
		Member previous = this.members.get(report.incarnation());
		QuotaUsageReconciler reconciler = (previous != null) ? previous.reconciler()
				: new QuotaUsageReconciler(REACHABLE_TIMEOUT);
		this.members.put(report.incarnation(), new Member(report, now, reconciler));
		Map<AccountName, Double> charge = reconciler.update(report.incarnation(), report.traffic().quotaUsed(), now);
		charge.forEach((account, amount) -> this.quotaUsedByMembers.merge(account, amount, Double::sum));
		return this.aggregator ? charge : Map.of();
	}

	/**
	 * Records the summary of another group or of the entire fleet.
	 * @param summary the summary
	 * @param now the time of receipt
	 * @return the quota used at other gateways that is to be charged here, by client
	 * account
	 */
	public Map<AccountName, Double> receive(FleetSummary summary, long now) {
		String group = summary.group();
		if (group == null) {
			this.usageLedger.addFleet(summary.traffic().usageCounts());
			Map<AccountName, Double> charge = this.fleet.read(summary, subtractOwn(summary.traffic().quotaUsed()), now);
			return this.aggregator ? Map.of() : charge;
		}
		this.usageLedger.addGroup(group, summary.traffic().usageCounts());
		Map<AccountName, Double> charge = this.groups
			.computeIfAbsent(group, (key) -> new AggregatorSummaries(REACHABLE_TIMEOUT))
			.read(summary, summary.traffic().quotaUsed(), now);
		charge.forEach((account, amount) -> this.quotaUsedByGroups.merge(account, amount, Double::sum));
		return this.aggregator ? charge : Map.of();
	}

	private Map<AccountName, Double> subtractOwn(Map<AccountName, Double> used) {
		Map<AccountName, Double> others = new HashMap<>(used);
		this.own.traffic().quotaUsed().forEach((account, amount) -> others.merge(account, -amount, Double::sum));
		return others;
	}

	/**
	 * Removes the gateways and summaries that have expired.
	 * @param now the current time
	 */
	public void expire(long now) {
		this.members.values().removeIf((member) -> now - member.at() > MEMBER_TIMEOUT.toNanos());
		this.groups.values().forEach((summaries) -> summaries.expire(now, MEMBER_TIMEOUT));
		this.groups.values().removeIf(AggregatorSummaries::isEmpty);
		this.fleet.expire(now, MEMBER_TIMEOUT);
	}

	/**
	 * Returns the summary of this gateway and the gateways that report to it.
	 * @param group the name of their group
	 * @param now the current time
	 * @return the group's summary
	 */
	public FleetSummary groupSummary(String group, long now) {
		FleetAggregation aggregation = new FleetAggregation();
		aggregation.add(this.own, true, true, Duration.ZERO);
		addMembers(aggregation, now);
		return aggregation.summary(this.incarnation, group, this.usageLedger.recentGroupCounts(),
				quotaUsed(this.quotaUsedByMembers));
	}

	/**
	 * Returns the summary of the entire fleet, as reported to this gateway.
	 * @param now the current time
	 * @return the fleet's summary
	 */
	public FleetSummary fleetSummary(long now) {
		FleetAggregation aggregation = new FleetAggregation();
		aggregation.add(this.own, true, true, Duration.ZERO);
		addMembers(aggregation, now);
		addGroups(aggregation, now);
		Map<AccountName, Double> quotaUsed = quotaUsed(this.quotaUsedByMembers);
		this.quotaUsedByGroups.forEach((account, amount) -> quotaUsed.merge(account, amount, Double::sum));
		return aggregation.summary(this.incarnation, null, this.usageLedger.recentFleetCounts(), quotaUsed);
	}

	private Map<AccountName, Double> quotaUsed(Map<AccountName, Double> others) {
		Map<AccountName, Double> sums = new HashMap<>(this.own.traffic().quotaUsed());
		others.forEach((account, amount) -> sums.merge(account, amount, Double::sum));
		return sums;
	}

	private void addMembers(FleetAggregation aggregation, long now) {
		for (Member member : this.members.values()) {
			aggregation.add(member.report(), isFresh(member.at(), now), isResponding(member.at(), now),
					Duration.ofNanos(now - member.at()));
		}
	}

	private void addGroups(FleetAggregation aggregation, long now) {
		this.groups.values().forEach((summaries) -> addPreferred(summaries, aggregation, now));
	}

	private void addPreferred(AggregatorSummaries summaries, FleetAggregation aggregation, long now) {
		AggregatorSummaries.Received preferred = summaries.preferred(now, this.responseTimeout);
		if (preferred != null) {
			aggregation.add(preferred.summary(), isFresh(preferred.at(), now), isResponding(preferred.at(), now),
					Duration.ofNanos(now - preferred.at()));
		}
	}

	private static boolean isFresh(long at, long now) {
		return now - at < REACHABLE_TIMEOUT.toNanos();
	}

	private boolean isResponding(long at, long now) {
		return now - at < this.responseTimeout.toNanos();
	}

	/**
	 * Returns this gateway's view of the other gateways.
	 * @param now the current time
	 * @return the view
	 */
	public FleetView view(long now) {
		FleetAggregation others = new FleetAggregation();
		if (this.aggregator) {
			addMembers(others, now);
			addGroups(others, now);
		}
		else {
			addPreferred(this.fleet, others, now);
			others.remove(this.own);
		}
		return FleetView.of(others.summary(this.incarnation, null, Map.of(), Map.of()), this.dataCenter,
				this.aggregator);
	}

	/**
	 * Returns the number of requests started in the entire fleet during a usage window.
	 * @param window the window's number
	 * @return the number of requests by client account
	 */
	public Map<AccountName, Long> usageCounts(long window) {
		return this.usageLedger.counts(window);
	}

	private record Member(GatewayReport report, long at, QuotaUsageReconciler reconciler) {
	}

}
