package org.banyancove.gateway.daemon;

import java.net.InetAddress;
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
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.duty.AggregatorSelection;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.quarantine.SuspectReport;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.shared.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges reports with the other gateways as datagrams.
 * <p>
 * If each of n gateways reported to all others, the work of every gateway would grow with
 * n. Instead, each gateway reports to the aggregators of its group; the aggregators
 * exchange the totals of their groups and return the totals of the fleet to their group.
 * All reported values are totals, so the next datagram makes up for a lost one.
 */
final class FleetExchange {

	private static final Logger log = LoggerFactory.getLogger(FleetExchange.class);

	/** Report interval in groups of up to ten gateways. */
	private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

	/** Group size above which reports are sent less often. */
	private static final double SMALL_GROUP_SIZE = 10;

	/** Missed report intervals after which a gateway counts as unresponsive. */
	private static final int MISSED_REPORTS_THRESHOLD = 2;

	/**
	 * Lower bound of the response timeout, so that a slow VM is not mistaken for a
	 * network partition.
	 */
	private static final Duration MINIMUM_RESPONSE_TIMEOUT = Duration.ofMillis(600);

	/**
	 * Time for which an aggregator still sends summaries to a gateway that stopped
	 * reporting.
	 */
	private static final Duration MEMBER_TIMEOUT = Duration.ofMillis(1500);

	/** Lets the losses of one endpoint, of all its connections, arrive. */
	private static final Duration CRASH_REPORT_DELAY = Duration.ofMillis(10);

	private final String name;

	private final EventLoop eventLoop;

	private final MonotonicClock clock;

	private final GatewayDirectory directory;

	private final PeerTable peerTable;

	private final Supplier<GatewayReport> ownReport;

	private final Consumer<Map<AccountName, Double>> remoteUsage;

	private final Consumer<RelayedRecords> relayedRecords;

	private final RequestQuarantine quarantine;

	private final PeerTransport transport;

	private final StreamOriginExchange streamOrigins;

	private final PeerMessageCodec codec = new PeerMessageCodec();

	private final AggregatorSelection selection;

	private final Map<InetSocketAddress, Long> reportingMembers = new HashMap<>();

	private List<String> ownAggregators = List.of();

	private boolean suspectReportDue;

	/**
	 * Creates the exchange.
	 * @param own the address of this gateway
	 * @param eventLoop the event loop that runs all work
	 * @param clock the monotonic clock
	 * @param transport sends the messages
	 * @param peerTable records the reports of other gateways
	 * @param ownReport supplies the report of this gateway
	 * @param remoteUsage receives the usage accepted by other gateways, by client account
	 * @param relayedRecords receives the records that other gateways relay
	 * @param quarantine exchanges the requests that may crash endpoints
	 * @param onlyVersions the routes that have had one version only
	 */
	FleetExchange(GatewayAddress own, EventLoop eventLoop, MonotonicClock clock, PeerTransport transport,
			PeerTable peerTable, Supplier<GatewayReport> ownReport, Consumer<Map<AccountName, Double>> remoteUsage,
			Consumer<RelayedRecords> relayedRecords, RequestQuarantine quarantine, OnlyVersions onlyVersions) {
		this.name = own.name();
		this.eventLoop = eventLoop;
		this.clock = clock;
		this.transport = transport;
		this.directory = new GatewayDirectory(own);
		this.peerTable = peerTable;
		this.ownReport = ownReport;
		this.remoteUsage = remoteUsage;
		this.relayedRecords = relayedRecords;
		this.quarantine = quarantine;
		this.streamOrigins = new StreamOriginExchange(own, this.directory, transport, clock,
				(action, delay) -> eventLoop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS), onlyVersions);
		this.selection = new AggregatorSelection(own.name());
		quarantine.setCrashListener(this::reportSuspectsSoon);
	}

	/**
	 * Returns the listener that follows the gateways' topic.
	 * @return the listener
	 */
	TopicFollower.Listener directory() {
		return this.directory;
	}

	/**
	 * Returns the exchange of the origins of streams.
	 * @return the exchange
	 */
	StreamOriginExchange streamOrigins() {
		return this.streamOrigins;
	}

	/**
	 * Returns the names of all gateways of the fleet.
	 * @return the names, including this gateway
	 */
	Collection<String> gateways() {
		return this.directory.names();
	}

	/**
	 * Returns the number of gateways that the store lists.
	 * @return the number, including this gateway, or 0 if the list has not been read
	 */
	int listedGateways() {
		return this.directory.listed() ? this.directory.names().size() : 0;
	}

	/**
	 * Returns the addresses of all gateways of the fleet.
	 * @return the addresses, including this gateway's
	 */
	Collection<GatewayAddress> addresses() {
		return this.directory.addresses();
	}

	/**
	 * Returns whether an address is that of a gateway of the fleet.
	 * @param address the IP address
	 * @return whether a gateway is listed with it
	 */
	boolean isGateway(InetAddress address) {
		return this.directory.addresses()
			.stream()
			.anyMatch((gateway) -> gateway.address().getAddress().equals(address));
	}

	/** Sends a report now and then at each interval. */
	void start() {
		try {
			report(this.clock.nanos());
		}
		catch (RuntimeException ex) {
			// An exception would end the timer for good, although the next report may
			// succeed.
			log.error("report failed", ex);
		}
		this.eventLoop.schedule(this::start, reportInterval().toMillis(), TimeUnit.MILLISECONDS);
	}

	Duration reportInterval() {
		double growth = Math.max(1, Math.sqrt(this.directory.largestGroup() / SMALL_GROUP_SIZE));
		return Duration.ofNanos((long) (REPORT_INTERVAL.toNanos() * growth));
	}

	private Duration responseTimeout() {
		Duration missed = reportInterval().multipliedBy(MISSED_REPORTS_THRESHOLD);
		return (missed.compareTo(MINIMUM_RESPONSE_TIMEOUT) > 0) ? missed : MINIMUM_RESPONSE_TIMEOUT;
	}

	void report(long now) {
		GatewayReport own = this.ownReport.get();
		this.peerTable.setOwnReport(own);
		this.reportingMembers.values().removeIf((at) -> now - at > MEMBER_TIMEOUT.toNanos());
		String group = this.directory.ownGroup();
		List<String> aggregators = aggregators(group, now);
		updateAggregators(group, aggregators);
		boolean aggregator = aggregators.contains(this.name);
		this.peerTable.configure(aggregator, this.directory.groups(), responseTimeout());
		byte[] report = this.codec.write(new PeerMessage.Report(own));
		send(withProbes(group, aggregators, now), report);
		if (this.directory.fullMesh()) {
			sendToOtherGroups(report, now);
		}
		else if (aggregator) {
			sendToOtherGroups(this.codec.write(new PeerMessage.Summary(this.peerTable.groupSummary(group, now))), now);
		}
		if (!this.reportingMembers.isEmpty()) {
			byte[] summary = this.codec.write(new PeerMessage.Summary(this.peerTable.fleetSummary(now)));
			this.reportingMembers.keySet().forEach((member) -> this.transport.write(member, summary));
		}
		this.transport.flush();
		reportSuspects(aggregator, now);
	}

	// The requests that are lost with one endpoint are reported together.
	private void reportSuspectsSoon() {
		if (!this.suspectReportDue) {
			this.suspectReportDue = true;
			this.eventLoop.schedule(() -> {
				this.suspectReportDue = false;
				long now = this.clock.nanos();
				reportSuspects(aggregators(this.directory.ownGroup(), now).contains(this.name), now);
			}, CRASH_REPORT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void receiveSuspects(Map<Fingerprint, SuspectReport> reports) {
		boolean added = this.quarantine.merge(reports, this.clock.nanos());
		if (added && !this.directory.fullMesh() && this.ownAggregators.contains(this.name)) {
			reportSuspectsSoon();
		}
	}

	private void reportSuspects(boolean aggregator, long now) {
		boolean relays = aggregator && !this.directory.fullMesh();
		Map<Fingerprint, SuspectReport> reports = relays ? this.quarantine.relayedReports(now)
				: this.quarantine.ownReports(now);
		if (!reports.isEmpty()) {
			distribute(this.codec.write(new PeerMessage.Suspects(reports)), now);
		}
	}

	private void updateAggregators(String group, List<String> chosen) {
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

	// Adds the candidates that were skipped and are due for another probe.
	private List<String> withProbes(String group, List<String> chosen, long now) {
		List<String> recipients = new ArrayList<>(chosen);
		recipients.addAll(this.selection.probe(this.directory.members(group), chosen, now));
		return recipients;
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
	 * Relays records that this gateway read to the gateways that report here and to the
	 * aggregators.
	 * @param records the records
	 */
	void relay(RelayedRecords records) {
		distribute(this.codec.write(new PeerMessage.Relay(records)), this.clock.nanos());
	}

	// Only an aggregator sends to the aggregators of other groups: a gateway that is none
	// receives no responses from other groups and cannot tell which of their members
	// respond.
	private void distribute(byte[] message, long now) {
		List<String> aggregators = aggregators(this.directory.ownGroup(), now);
		send(aggregators, message);
		if (aggregators.contains(this.name)) {
			otherGroups().forEach((group) -> send(aggregators(group, now), message));
		}
		sendToReporting(message);
	}

	/**
	 * Forwards records that another gateway read to the gateways that report here.
	 * @param records the records
	 */
	void forward(RelayedRecords records) {
		if (!this.reportingMembers.isEmpty()) {
			sendToReporting(this.codec.write(new PeerMessage.Relay(records)));
		}
	}

	private void sendToReporting(byte[] message) {
		this.reportingMembers.keySet().forEach((member) -> this.transport.write(member, message));
		this.transport.flush();
	}

	/**
	 * Handles a datagram.
	 * @param sender the address of the sender
	 * @param datagram its content
	 */
	void handleDatagram(InetSocketAddress sender, byte[] datagram) {
		String gateway = this.directory.nameOf(sender);
		if (gateway != null) {
			this.selection.answered(gateway);
		}
		try {
			switch (this.codec.read(datagram)) {
				case PeerMessage.Report received -> {
					if (!this.directory.fullMesh()) {
						this.reportingMembers.put(sender, this.clock.nanos());
					}
					this.remoteUsage.accept(this.peerTable.receive(received.report(), this.clock.nanos()));
				}
				case PeerMessage.Summary received ->
					this.remoteUsage.accept(this.peerTable.receive(received.summary(), this.clock.nanos()));
				case PeerMessage.Relay received -> this.relayedRecords.accept(received.records());
				case PeerMessage.Suspects received -> receiveSuspects(received.reports());
				case StreamOriginMessage received -> this.streamOrigins.receive(sender, gateway, received);
			}
		}
		catch (RuntimeException ex) {
			log.atWarn().addKeyValue("cause", ex.toString()).log("peer's message unreadable");
		}
	}

}
