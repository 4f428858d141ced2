package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.gateway.duty.EndpointLoad;
import org.banyancove.gateway.duty.FleetView;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FleetExchangeTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final EndpointId ENDPOINT = new EndpointId("endpoint");

	private static final long WINDOW = 7;

	private static final long STEP = Duration.ofMillis(20).toNanos();

	private final List<Peer> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Peer> byAddress = new HashMap<>();

	private final Set<String> partitioned = new HashSet<>();

	private final SplittableRandom random = new SplittableRandom(4);

	private double lossRate;

	private long now;

	// Guards against a fleet in which the work of each gateway grows with the number of
	// gateways.
	@ParameterizedTest
	@ValueSource(ints = { 30, 100, 300 })
	void aNonAggregatorSendsAndReceivesFewMessagesPerInterval(int gateways) {
		start(gateways, 5);
		runFor(Duration.ofSeconds(4));
		this.fleet.forEach(Peer::resetCounters);
		runFor(Duration.ofSeconds(4));
		for (Peer peer : this.fleet) {
			if (!peer.view().aggregator()) {
				assertThat(peer.sent).as("sent by " + peer.name).isLessThanOrEqualTo(2 * 17);
				assertThat(peer.received).as("received by " + peer.name).isLessThanOrEqualTo(2 * 17);
			}
		}
		assertThat(this.fleet.stream().filter((peer) -> peer.view().aggregator())).hasSize(10);
	}

	// Guards against gateways that know only a part of the fleet.
	@ParameterizedTest
	@ValueSource(ints = { 6, 9, 60, 100 })
	void everyGatewayKnowsTheWholeFleet(int gateways) {
		this.lossRate = 0.02;
		start(gateways, 3);
		runFor(Duration.ofSeconds(6));
		for (Peer peer : this.fleet) {
			assertThat(peer.view().otherGateways()).as("others of " + peer.name).isEqualTo(gateways - 1);
			assertThat(peer.view().reachableShare()).isGreaterThan(0.9);
			assertThat(peer.view().unreachableDataCenters()).isEmpty();
			assertThat(peer.view().loads().get(ENDPOINT)).isEqualTo(new EndpointLoad(gateways - 1, gateways - 1));
		}
	}

	// Guards against usage that is counted twice or lost when the aggregators that sum it
	// up die.
	@Test
	void usageIsExactAtEveryGatewayAfterAggregatorsDie() {
		this.lossRate = 0.02;
		start(60, 3);
		runFor(Duration.ofSeconds(4));
		this.fleet.forEach((peer) -> peer.counted = 5);
		runFor(Duration.ofSeconds(2));
		List<Peer> aggregators = this.fleet.stream().filter((peer) -> peer.view().aggregator()).toList();
		aggregators.stream().filter((peer) -> peer.dataCenter.value().equals("dc-0")).forEach(Peer::die);
		runFor(Duration.ofSeconds(5));
		for (Peer peer : alive()) {
			assertThat(peer.table.usageCounts(WINDOW)).as("counted by " + peer.name).containsEntry(ACCOUNT, 300L);
		}
	}

	// Guards against a usage report that lacks the counts of a process from before its
	// restart within the same window.
	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void countsFromBeforeARestartAreAddedToLaterCounts(int gateways) {
		start(gateways, 3);
		runFor(Duration.ofSeconds(4));
		Peer restarted = this.fleet.get(5);
		restarted.counted = 40;
		runFor(Duration.ofSeconds(2));
		restarted.restart();
		restarted.counted = 30;
		runFor(Duration.ofSeconds(3));
		for (Peer peer : this.fleet) {
			if (peer != restarted || gateways > 16) {
				assertThat(peer.table.usageCounts(WINDOW)).as("counted by " + peer.name).containsEntry(ACCOUNT, 70L);
			}
		}
	}

	// Guards against a group that disappears from the fleet with its aggregators.
	@Test
	void theNextInRankReplaceBothAggregatorsWhenTheyDie() {
		start(60, 3);
		runFor(Duration.ofSeconds(4));
		this.fleet.stream()
			.filter((peer) -> peer.view().aggregator() && peer.dataCenter.value().equals("dc-1"))
			.forEach(Peer::die);
		runFor(Duration.ofSeconds(3));
		for (Peer peer : alive()) {
			assertThat(peer.view().loads().get(ENDPOINT)).as("loads at " + peer.name)
				.isEqualTo(new EndpointLoad(57, 57));
			assertThat(peer.view().unreachableDataCenters()).isEmpty();
		}
	}

	// Guards against requests that are sent into a partitioned data centre.
	@Test
	void aPartitionAndItsEndAreDetectedWithin1500Millis() {
		start(60, 3);
		runFor(Duration.ofSeconds(4));
		this.partitioned.add("dc-2");
		runFor(Duration.ofMillis(1500));
		for (Peer peer : this.fleet) {
			Set<DataCenterName> expected = peer.dataCenter.value().equals("dc-2")
					? Set.of(new DataCenterName("dc-0"), new DataCenterName("dc-1"))
					: Set.of(new DataCenterName("dc-2"));
			assertThat(peer.view().unreachableDataCenters()).as("unreachable from " + peer.name).isEqualTo(expected);
		}
		runFor(Duration.ofSeconds(4));
		this.partitioned.clear();
		runFor(Duration.ofMillis(1500));
		for (Peer peer : this.fleet) {
			assertThat(peer.view().unreachableDataCenters()).as("unreachable from " + peer.name).isEmpty();
			assertThat(peer.view().otherGateways()).isEqualTo(59);
		}
	}

	// Guards against an overdrawn quota because gateways don't receive the usage accepted
	// by others, and against an exhausted quota because they charge it twice.
	@Test
	void usageAcceptedByOthersIsChargedOnceAtEveryGateway() {
		this.lossRate = 0.02;
		start(60, 3);
		runFor(Duration.ofSeconds(6));
		this.fleet.forEach((peer) -> peer.charged = 0);
		this.fleet.forEach((peer) -> peer.used += 100);
		runFor(Duration.ofSeconds(3));
		for (Peer peer : this.fleet) {
			assertThat(peer.charged).as("charged at " + peer.name).isBetween(59 * 100 * 0.99, 59 * 100 * 1.01);
		}
	}

	// Guards against a draining endpoint of which some gateways receive no record.
	@Test
	void recordsRelayedByAReaderReachEveryGateway() {
		start(100, 5);
		runFor(Duration.ofSeconds(4));
		Peer reader = this.fleet.stream().filter((peer) -> peer.view().aggregator()).findFirst().orElseThrow();
		reader.exchange.relay(new RelayedRecords(Topic.ENDPOINTS, List.of(new TopicRecord(1, "e", null)), null));
		deliver();
		deliver();
		deliver();
		this.fleet.stream()
			.filter((peer) -> peer != reader)
			.forEach((peer) -> assertThat(peer.relayed).as("relayed to " + peer.name).isPositive());
	}

	private List<Peer> alive() {
		return this.fleet.stream().filter((peer) -> peer.alive).toList();
	}

	private void start(int gateways, int dataCenters) {
		for (int i = 0; i < gateways; i++) {
			Peer peer = new Peer(i, new DataCenterName("dc-" + i % dataCenters));
			this.fleet.add(peer);
			this.byAddress.put(peer.address.address(), peer);
		}
		this.fleet.forEach(this::registerAll);
	}

	private void registerAll(Peer peer) {
		for (Peer other : this.fleet) {
			byte[] value = other.address.format().getBytes(StandardCharsets.UTF_8);
			peer.exchange.directory().changed(new TopicRecord(other.number, other.name, value));
		}
	}

	private void runFor(Duration time) {
		for (long end = this.now + time.toNanos(); this.now < end; this.now += STEP) {
			for (Peer peer : alive()) {
				if (this.now >= peer.nextAt) {
					peer.nextAt = this.now + peer.exchange.reportInterval().toNanos();
					peer.exchange.report(this.now);
					peer.table.expire(this.now);
				}
			}
			deliver();
		}
	}

	private void deliver() {
		List<Message> messages = new ArrayList<>();
		this.fleet.forEach((peer) -> {
			messages.addAll(peer.outbox);
			peer.outbox.clear();
		});
		for (Message message : messages) {
			Peer receiver = Objects.requireNonNull(this.byAddress.get(message.to()));
			boolean separated = this.partitioned.contains(message.from().dataCenter.value()) != this.partitioned
				.contains(receiver.dataCenter.value());
			if (receiver.alive && !separated && this.random.nextDouble() >= this.lossRate) {
				receiver.received++;
				receiver.exchange.handleDatagram(message.from().address.address(), message.content());
			}
		}
	}

	@SuppressWarnings("ArrayRecordComponent")
	private record Message(Peer from, InetSocketAddress to, byte[] content) {
	}

	/**
	 * A gateway without callers, endpoints and sockets.
	 */
	private final class Peer implements PeerTransport {

		private final int number;

		private final String name;

		private final DataCenterName dataCenter;

		private final GatewayAddress address;

		private PeerTable table;

		private FleetExchange exchange;

		private long incarnation;

		private final List<Message> outbox = new ArrayList<>();

		private boolean alive = true;

		private long nextAt;

		private long counted;

		private double used;

		private double charged;

		private int relayed;

		private int sent;

		private int received;

		Peer(int number, DataCenterName dataCenter) {
			this.number = number;
			this.name = "gateway-" + number;
			this.dataCenter = dataCenter;
			this.address = new GatewayAddress(this.name,
					new InetSocketAddress("10.0." + number / 250 + "." + (1 + number % 250), 7500), dataCenter,
					(number % 4 == 0) ? 1.5 : 0.27);
			this.incarnation = 1000L + number;
			this.table = new PeerTable(this.incarnation, dataCenter);
			this.nextAt = Duration.ofMillis(number % 250).toNanos();
			this.exchange = newExchange();
		}

		private FleetExchange newExchange() {
			return new FleetExchange(this.address, new EmbeddedChannel().eventLoop(), () -> FleetExchangeTests.this.now,
					this, this.table, this::report,
					(remoteUsage) -> remoteUsage.values().forEach((amount) -> this.charged += amount), this::relayed,
					new RequestQuarantine(new EndpointTable(new FleetAllocation(this.name, () -> List.of(this.name)))),
					new OnlyVersions(new UnreadVersions(), Duration.ofSeconds(2)));
		}

		void restart() {
			this.incarnation += 100_000;
			this.counted = 0;
			this.used = 0;
			this.table = new PeerTable(this.incarnation, this.dataCenter);
			this.exchange = newExchange();
			registerAll(this);
		}

		private void relayed(RelayedRecords records) {
			this.relayed++;
			if (this.relayed == 1) {
				this.exchange.forward(records);
			}
		}

		private GatewayReport report() {
			TrafficTotals traffic = new TrafficTotals(Map.of(WINDOW, Map.of(ACCOUNT, this.counted)),
					Map.of(ACCOUNT, this.used), Map.of(), Map.of(ENDPOINT, new EndpointLoad(1, 1)), RolloutReport.NONE,
					Map.of(), Map.of());
			return new GatewayReport(this.incarnation, this.dataCenter, traffic, false, SharedStateVersion.NONE);
		}

		FleetView view() {
			return this.table.view(FleetExchangeTests.this.now);
		}

		void die() {
			this.alive = false;
			this.outbox.clear();
		}

		void resetCounters() {
			this.sent = 0;
			this.received = 0;
		}

		@Override
		public void write(InetSocketAddress to, byte[] message) {
			this.sent++;
			this.outbox.add(new Message(this, to, message));
		}

		@Override
		public void flush() {
			// Messages are delivered at the end of each step.
		}

	}

}
