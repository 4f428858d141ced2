package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;

/**
 * What this gateway knows of the others.
 * <p>
 * An aggregator adds up the gateways of its group, which report to it, and the summaries
 * of the other groups. Any other gateway takes the fleet's summary from its aggregators
 * and subtracts itself. Loads are forgotten after a few missed reports; a gateway counts
 * as one of the fleet for longer, since it may be cut off from here and go on working.
 * <p>
 * Times are nanoseconds of the steady clock.
 */
public final class PeerTable {

	/** Time without reports after which a gateway's loads count no more. */
	private static final Duration REACHABLE_TIMEOUT = Duration.ofMillis(1500);

	/** The same after which it no longer belongs to the fleet: longer than most cuts. */
	private static final Duration MEMBER_TIMEOUT = Duration.ofSeconds(12);

	/**
	 * Time without reports after which a gateway does not respond, until it is
	 * configured.
	 */
	private static final Duration INITIAL_RESPONSE_TIMEOUT = Duration.ofMillis(600);

	private final Map<Long, Member> members = new HashMap<>();

	private final Map<String, SummarySource> groups = new HashMap<>();

	private final SummarySource fleet = new SummarySource(REACHABLE_TIMEOUT);

	private final UsageLedger ledger = new UsageLedger();

	private final Map<AccountName, Double> usedByMembers = new HashMap<>();

	private final Map<AccountName, Double> usedByGroups = new HashMap<>();

	private final long incarnation;

	private final DataCenterName dataCenter;

	private GatewayReport own;

	private Duration responseTimeout = INITIAL_RESPONSE_TIMEOUT;

	private boolean aggregates = true;

	/**
	 * Creates the table.
	 * @param incarnation this process
	 * @param dataCenter its data centre
	 */
	public PeerTable(long incarnation, DataCenterName dataCenter) {
		this.incarnation = incarnation;
		this.dataCenter = dataCenter;
		this.own = new GatewayReport(incarnation, dataCenter, TrafficTotals.NONE, false, KnownState.NONE);
	}

	/**
	 * Records what this gateway reports of itself.
	 * @param report its report
	 */
	public void ownReport(GatewayReport report) {
		this.own = report;
		this.ledger.addGateway(report.incarnation(), report.traffic().counts());
	}

	/**
	 * Changes whether this gateway adds up the others' reports.
	 * @param newAggregates whether it is an aggregator of its group
	 * @param knownGroups the groups of the fleet
	 * @param newResponseTimeout time without reports after which a gateway does not
	 * respond
	 */
	public void configure(boolean newAggregates, Set<String> knownGroups, Duration newResponseTimeout) {
		this.aggregates = newAggregates;
		this.responseTimeout = newResponseTimeout;
		this.groups.keySet().retainAll(knownGroups);
		this.ledger.retainGroups(knownGroups);
	}

	/**
	 * Records a report of a gateway of the same group, or in a small fleet of any other.
	 * @param report the report
	 * @param now when it was received
	 * @return what was accepted elsewhere and is to be charged here, by client account
	 */
	public Map<AccountName, Double> read(GatewayReport report, long now) {
		this.ledger.addGateway(report.incarnation(), report.traffic().counts());
		Member known = this.members.get(report.incarnation());
		UsedProgress progress = (known != null) ? known.progress() : new UsedProgress(REACHABLE_TIMEOUT);
		this.members.put(report.incarnation(), new Member(report, now, progress));
		Map<AccountName, Double> charge = progress.update(report.incarnation(), report.traffic().used(), now);
		charge.forEach((account, amount) -> this.usedByMembers.merge(account, amount, Double::sum));
		return this.aggregates ? charge : Map.of();
	}

	/**
	 * Records a summary of another group or of the whole fleet.
	 * @param summary the summary
	 * @param now when it was received
	 * @return what was accepted elsewhere and is to be charged here, by client account
	 */
	public Map<AccountName, Double> read(FleetSummary summary, long now) {
		String group = summary.group();
		if (group == null) {
			this.ledger.addFleet(summary.traffic().counts());
			Map<AccountName, Double> charge = this.fleet.read(summary, withoutOwn(summary.traffic().used()), now);
			return this.aggregates ? Map.of() : charge;
		}
		this.ledger.addGroup(group, summary.traffic().counts());
		Map<AccountName, Double> charge = this.groups
			.computeIfAbsent(group, (key) -> new SummarySource(REACHABLE_TIMEOUT))
			.read(summary, summary.traffic().used(), now);
		charge.forEach((account, amount) -> this.usedByGroups.merge(account, amount, Double::sum));
		return this.aggregates ? charge : Map.of();
	}

	private Map<AccountName, Double> withoutOwn(Map<AccountName, Double> used) {
		Map<AccountName, Double> others = new HashMap<>(used);
		this.own.traffic().used().forEach((account, amount) -> others.merge(account, -amount, Double::sum));
		return others;
	}

	/**
	 * Forgets the gateways that are gone.
	 * @param now the present time
	 */
	public void expire(long now) {
		this.members.values().removeIf((member) -> now - member.at() > MEMBER_TIMEOUT.toNanos());
		this.groups.values().forEach((source) -> source.expire(now, MEMBER_TIMEOUT));
		this.groups.values().removeIf(SummarySource::isEmpty);
		this.fleet.expire(now, MEMBER_TIMEOUT);
	}

	/**
	 * Returns the summary of this gateway and those that report to it.
	 * @param group the name of their group
	 * @param now the present time
	 * @return the summary
	 */
	public FleetSummary groupSummary(String group, long now) {
		FleetAggregation aggregation = new FleetAggregation();
		aggregation.add(this.own, true, true, Duration.ZERO);
		addMembers(aggregation, now);
		return aggregation.summary(this.incarnation, group, this.ledger.newestOfGroup(), used(this.usedByMembers));
	}

	/**
	 * Returns the summary of the whole fleet, as this gateway knows it.
	 * @param now the present time
	 * @return the summary
	 */
	public FleetSummary fleetSummary(long now) {
		FleetAggregation aggregation = new FleetAggregation();
		aggregation.add(this.own, true, true, Duration.ZERO);
		addMembers(aggregation, now);
		addGroups(aggregation, now);
		Map<AccountName, Double> used = used(this.usedByMembers);
		this.usedByGroups.forEach((account, amount) -> used.merge(account, amount, Double::sum));
		return aggregation.summary(this.incarnation, null, this.ledger.newestOfFleet(), used);
	}

	private Map<AccountName, Double> used(Map<AccountName, Double> others) {
		Map<AccountName, Double> sums = new HashMap<>(this.own.traffic().used());
		others.forEach((account, amount) -> sums.merge(account, amount, Double::sum));
		return sums;
	}

	private void addMembers(FleetAggregation aggregation, long now) {
		for (Member member : this.members.values()) {
			aggregation.add(member.report(), fresh(member.at(), now), responding(member.at(), now),
					Duration.ofNanos(now - member.at()));
		}
	}

	private void addGroups(FleetAggregation aggregation, long now) {
		this.groups.values().forEach((source) -> addNewest(source, aggregation, now));
	}

	private void addNewest(SummarySource source, FleetAggregation aggregation, long now) {
		SummarySource.Received best = source.best(now, this.responseTimeout);
		if (best != null) {
			aggregation.add(best.summary(), fresh(best.at(), now), responding(best.at(), now),
					Duration.ofNanos(now - best.at()));
		}
	}

	private static boolean fresh(long at, long now) {
		return now - at < REACHABLE_TIMEOUT.toNanos();
	}

	private boolean responding(long at, long now) {
		return now - at < this.responseTimeout.toNanos();
	}

	/**
	 * Returns what is known of the others.
	 * @param now the present time
	 * @return the view
	 */
	public FleetView view(long now) {
		FleetAggregation others = new FleetAggregation();
		if (this.aggregates) {
			addMembers(others, now);
			addGroups(others, now);
		}
		else {
			addNewest(this.fleet, others, now);
			others.remove(this.own);
		}
		return FleetView.of(others.summary(this.incarnation, null, Map.of(), Map.of()), this.dataCenter,
				this.aggregates);
	}

	/**
	 * Returns what all gateways counted in a window.
	 * @param window the window's number
	 * @return the requests by client account
	 */
	public Map<AccountName, Long> counted(long window) {
		return this.ledger.counted(window);
	}

	private record Member(GatewayReport report, long at, UsedProgress progress) {
	}

}
