package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.banyancove.core.AccountName;
import org.banyancove.gateway.duty.AggregatorSelection;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.shared.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges reports with the other gateways, as datagrams.
 * <p>
 * With n gateways, a report of each to each other one takes work that grows with n for
 * every gateway. Instead, each reports to the aggregators of its group, these exchange
 * the sums of their groups, and give the fleet's back to their group. All that is
 * reported are sums, so a lost datagram is made good by the next.
 */
final class FleetExchange {

	private static final Logger log = LoggerFactory.getLogger(FleetExchange.class);

	/** Interval in groups of up to ten. */
	private static final Duration INTERVAL = Duration.ofMillis(250);

	/** Gateways of a group from which on reports are sent less often. */
	private static final double SMALL_GROUP = 10;

	/** Missed intervals after which a gateway counts as unresponsive. */
	private static final int MISSED_REPORTS = 2;

	/** The least time for it, so that a slow VM is not taken for a cut. */
	private static final Duration MINIMUM_RESPONSE_TIMEOUT = Duration.ofMillis(600);

	/** How long an aggregator sends summaries to a gateway that stopped reporting. */
	private static final Duration MEMBER_TIMEOUT = Duration.ofMillis(1500);

	private final String name;

	private final EventLoop eventLoop;

	private final SteadyClock clock;

	private final GatewayDirectory directory;

	private final PeerTable peerTable;

	private final Supplier<GatewayReport> ownReport;

	private final Consumer<Map<AccountName, Double>> remoteUsage;

	private final Consumer<RelayedRecords> relayed;

	private final PeerTransport transport;

	private final PeerMessageCodec codec = new PeerMessageCodec();

	private final AggregatorSelection selection;

	private final Map<InetSocketAddress, Long> reporting = new HashMap<>();

	private List<String> ownAggregators = List.of();

	/**
	 * Creates the exchange.
	 * @param own this gateway's address
	 * @param eventLoop runs everything
	 * @param clock the steady clock
	 * @param transport sends messages
	 * @param peerTable records the others' reports
	 * @param ownReport returns what this gateway reports of itself
	 * @param remoteUsage consumes the usage accepted by other gateways, by client account
	 * @param relayed consumes records that other gateways pass on
	 */
	FleetExchange(GatewayAddress own, EventLoop eventLoop, SteadyClock clock, PeerTransport transport,
			PeerTable peerTable, Supplier<GatewayReport> ownReport, Consumer<Map<AccountName, Double>> remoteUsage,
			Consumer<RelayedRecords> relayed) {
		this.name = own.name();
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.transport = transport;
		this.directory = new GatewayDirectory(own);
		this.peerTable = peerTable;
		this.ownReport = ownReport;
		this.remoteUsage = remoteUsage;
		this.relayed = relayed;
		this.selection = new AggregatorSelection(own.name());
	}

	/**
	 * Returns what follows the gateways' topic.
	 * @return the listener
	 */
	TopicFollower.Listener directory() {
		return this.directory;
	}

	/**
	 * Returns the names of all gateways of the fleet.
	 * @return the names, this gateway's included
	 */
	Collection<String> gateways() {
		return this.directory.names();
	}

	/** Reports now, and from now on at each interval. */
	void start() {
		try {
			report(this.clock.nanos());
		}
		catch (RuntimeException ex) {
			// The timer would end for good; the next report may well succeed.
			log.error("report failed", ex);
		}
		this.eventLoop.schedule(this::start, interval().toMillis(), TimeUnit.MILLISECONDS);
	}

	Duration interval() {
		double growth = Math.max(1, Math.sqrt(this.directory.largestGroup() / SMALL_GROUP));
		return Duration.ofNanos((long) (INTERVAL.toNanos() * growth));
	}

	private Duration responseTimeout() {
		Duration missed = interval().multipliedBy(MISSED_REPORTS);
		return (missed.compareTo(MINIMUM_RESPONSE_TIMEOUT) > 0) ? missed : MINIMUM_RESPONSE_TIMEOUT;
	}

	void report(long now) {
		GatewayReport own = this.ownReport.get();
		this.peerTable.ownReport(own);
		this.reporting.values().removeIf((at) -> now - at > MEMBER_TIMEOUT.toNanos());
		String group = this.directory.ownGroup();
		List<String> aggregators = aggregators(group, now);
		noteAggregators(group, aggregators);
		boolean aggregates = aggregators.contains(this.name);
		this.peerTable.configure(aggregates, this.directory.groups(), responseTimeout());
		byte[] report = this.codec.write(new PeerMessage.Report(own));
		send(withProbes(group, aggregators, now), report);
		if (this.directory.direct()) {
			sendToOtherGroups(report, now);
		}
		else if (aggregates) {
			sendToOtherGroups(this.codec.write(new PeerMessage.Summary(this.peerTable.groupSummary(group, now))), now);
		}
		if (!this.reporting.isEmpty()) {
			byte[] summary = this.codec.write(new PeerMessage.Summary(this.peerTable.fleetSummary(now)));
			this.reporting.keySet().forEach((member) -> this.transport.write(member, summary));
		}
		this.transport.flush();
	}

	private void noteAggregators(String group, List<String> chosen) {
		if (!chosen.equals(this.ownAggregators)) {
			this.ownAggregators = chosen;
			log.atInfo().addKeyValue("group", group).addKeyValue("aggregators", chosen).log("aggregators changed");
		}
	}

	private void sendToOtherGroups(byte[] message, long now) {
		for (String group : otherGroups()) {
			send(withProbes(group, aggregators(group, now), now), message);
		}
	}

	private List<String> otherGroups() {
		String own = this.directory.ownGroup();
		return this.directory.groups().stream().filter((group) -> !group.equals(own)).toList();
	}

	private List<String> aggregators(String group, long now) {
		return this.selection.choose(this.directory.members(group), now);
	}

	// Adds the candidates that were passed over and whose turn it is to be asked again.
	private List<String> withProbes(String group, List<String> chosen, long now) {
		List<String> asked = new ArrayList<>(chosen);
		asked.addAll(this.selection.probe(this.directory.members(group), chosen, now));
		return asked;
	}

	private void send(List<String> names, byte[] message) {
		for (String gateway : names) {
			InetSocketAddress address = this.directory.address(gateway);
			if (address != null && !gateway.equals(this.name)) {
				this.transport.write(address, message);
			}
		}
	}

	/**
	 * Passes on records that this gateway read: to the gateways that report here and to
	 * the aggregators of all groups. One that is no aggregator gets no answers of other
	 * groups, and does not know which of their members respond.
	 * @param records the records
	 */
	void relay(RelayedRecords records) {
		byte[] message = this.codec.write(new PeerMessage.Relay(records));
		long now = this.clock.nanos();
		List<String> aggregators = aggregators(this.directory.ownGroup(), now);
		send(aggregators, message);
		if (aggregators.contains(this.name)) {
			otherGroups().forEach((group) -> send(aggregators(group, now), message));
		}
		sendToReporting(message);
	}

	/**
	 * Passes on records that another gateway read to the gateways that report here.
	 * @param records the records
	 */
	void forward(RelayedRecords records) {
		if (!this.reporting.isEmpty()) {
			sendToReporting(this.codec.write(new PeerMessage.Relay(records)));
		}
	}

	private void sendToReporting(byte[] message) {
		this.reporting.keySet().forEach((member) -> this.transport.write(member, message));
		this.transport.flush();
	}

	/**
	 * Handles a message.
	 * @param sender where it came from
	 * @param datagram its content
	 */
	void received(InetSocketAddress sender, byte[] datagram) {
		String gateway = this.directory.nameAt(sender);
		if (gateway != null) {
			this.selection.answered(gateway);
		}
		try {
			switch (this.codec.read(datagram)) {
				case PeerMessage.Report message -> {
					if (!this.directory.direct()) {
						this.reporting.put(sender, this.clock.nanos());
					}
					this.remoteUsage.accept(this.peerTable.read(message.report(), this.clock.nanos()));
				}
				case PeerMessage.Summary message ->
					this.remoteUsage.accept(this.peerTable.read(message.summary(), this.clock.nanos()));
				case PeerMessage.Relay message -> this.relayed.accept(message.relayed());
			}
		}
		catch (RuntimeException ex) {
			log.atWarn().addKeyValue("cause", ex.toString()).log("peer's message unreadable");
		}
	}

}
