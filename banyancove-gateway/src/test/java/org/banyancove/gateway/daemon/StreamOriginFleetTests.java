package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.WeightedService;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.ListedVersions;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.resumption.StreamOrigin;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the gateways of a fleet find the origins of each other's streams, on a
 * simulated network.
 */
class StreamOriginFleetTests {

	private static final Logger log = LoggerFactory.getLogger(StreamOriginFleetTests.class);

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final Route ROUTE = new Route("route", "host", "/", RouteKind.STREAMING, true, Duration.ofSeconds(3),
			Duration.ofSeconds(1), Duration.ofSeconds(1), 0, List.of(new WeightedService(SERVICE, 1)), 2, true);

	private static final int DATA_CENTERS = 3;

	private static final int STREAMS = 600;

	/** A record must stay small beside the headers of a datagram. */
	private static final int MAXIMUM_RECORD_BYTES = 64;

	private static final Duration MAXIMUM_AGE = Duration.ofSeconds(2);

	private static final long MILLISECOND = Duration.ofMillis(1).toNanos();

	private final List<Peer> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Peer> byAddress = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

	private final Set<DataCenterName> cut = new HashSet<>();

	private SplittableRandom random = new SplittableRandom(1);

	private double lossRate;

	private long now;

	private long eventCount;

	private long datagrams;

	private long bytes;

	private int found;

	private int wrong;

	private int unknown;

	private Duration slowest = Duration.ZERO;

	// Guards against streams that are lost because the gateway that began them was
	// killed,
	// others with it, or datagrams are lost.
	@ParameterizedTest
	@CsvSource({ "9, 0, 1", "9, 0.05, 2", "90, 0, 3", "90, 0.05, 4", "300, 0.01, 5" })
	void originIsFoundAfterTheGatewayThatBeganTheStreamWasKilled(int gateways, double loss, long seed) {
		start(gateways, seed);
		this.lossRate = loss;
		resumeAfter(STREAMS, Peer::restart, true);
		assertFound(0.99);
	}

	// Guards against streams that are lost because their callers return to a gateway that
	// has just started and does not know the others yet.
	@ParameterizedTest
	@CsvSource({ "9, 1", "90, 2" })
	void originIsFoundByAGatewayThatHasJustStarted(int gateways, long seed) {
		start(gateways, seed);
		for (int i = 0; i < STREAMS / 10; i++) {
			Peer first = randomPeer();
			StreamKey stream = begin(first, i);
			runFor(Duration.ofMillis(5));
			Peer started = otherPeer(first, null);
			started.restart(Duration.ofMillis(80));
			returnTo(started, stream, i);
			runFor(Duration.ofMillis(300));
		}
		assertFound(0.99);
	}

	// Guards against streams that are lost because a tenth of the gateways, three at the
	// least, are restarted together, among them those that remember the stream.
	@ParameterizedTest
	@CsvSource({ "9, 1", "9, 2", "90, 3", "300, 4" })
	void originIsFoundWhileGatewaysAreRestartedTogether(int gateways, long seed) {
		start(gateways, seed);
		this.lossRate = 0.01;
		int together = Math.max(3, gateways / 10);
		resumeAfter(STREAMS / 6, (first) -> {
			for (int killed = 0; killed < together; killed++) {
				this.fleet.get((first.number + killed) % gateways).restart();
			}
		}, false);
		assertFound(0.9);
	}

	// Guards against streams that are lost while a data center is cut off, and against
	// callers that wait for gateways that do not answer.
	@ParameterizedTest
	@CsvSource({ "9, 1", "90, 2" })
	void originIsFoundWithinADataCenterThatIsCutOff(int gateways, long seed) {
		start(gateways, seed);
		this.cut.add(this.fleet.getFirst().dataCenter);
		resumeAfter(STREAMS, Peer::restart, true);
		assertFound(0.99);
		assertThat(this.slowest).isLessThan(Duration.ofMillis(250));
	}

	// Guards against streams that are lost because a whole data center is, with all its
	// gateways.
	@ParameterizedTest
	@CsvSource({ "9, 1", "90, 2" })
	void originOutlivesItsDataCenter(int gateways, long seed) {
		start(gateways, seed);
		resumeAfter(STREAMS / 10,
				(first) -> this.fleet.stream()
					.filter((peer) -> peer.dataCenter.equals(first.dataCenter))
					.forEach(Peer::restart),
				false);
		assertFound(0.99);
	}

	// Guards against streams that are lost when gateways are stopped in turn, each before
	// its successor has any records.
	@ParameterizedTest
	@CsvSource({ "9, 1", "90, 2" })
	void originIsHandedOverByGatewaysThatShutDown(int gateways, long seed) {
		start(gateways, seed);
		Peer first = this.fleet.getFirst();
		List<StreamKey> streams = new ArrayList<>();
		for (int i = 0; i < STREAMS / 2; i++) {
			streams.add(begin(first, i));
		}
		runFor(Duration.ofMillis(20));
		for (Peer peer : this.fleet) {
			peer.exchange.handOver();
			runFor(Duration.ofMillis(20));
			peer.restart();
		}
		for (int i = 0; i < streams.size(); i++) {
			returnTo(randomPeer(), streams.get(i), i);
			runFor(Duration.ofMillis(10));
		}
		assertFound(0.99);
	}

	// Guards against traffic, and against rejected callers, while a service has one
	// version only; a gateway that has just started learns it from the others.
	@Test
	void nothingIsReplicatedForTheOnlyVersion() {
		start(9, 1);
		this.fleet.forEach((peer) -> peer.list(Set.of("v1")));
		runWhileConfirmed(Duration.ofSeconds(10));
		Peer first = this.fleet.getFirst();
		StreamKey stream = new StreamKey(7, 7);
		first.exchange.record(stream, ROUTE, new StreamOrigin(SERVICE, "v1", new EndpointId("a")));
		runFor(Duration.ofMillis(20));
		assertThat(this.datagrams).isZero();
		first.restart();
		first.list(Set.of("v1"));
		first.exchange.find(stream, ROUTE, (origin) -> ended(origin, "v1", this.now));
		runFor(Duration.ofSeconds(1));
		assertThat(this.found).isEqualTo(1);
	}

	// Guards against streams of the only version that are lost, or go on at the second
	// one, once that is listed.
	@Test
	void originsAreReplicatedOnceASecondVersionIsListed() {
		start(9, 1);
		this.fleet.forEach((peer) -> peer.list(Set.of("v1")));
		runWhileConfirmed(Duration.ofSeconds(10));
		Peer first = this.fleet.getFirst();
		StreamKey stream = new StreamKey(7, 7);
		first.exchange.record(stream, ROUTE, new StreamOrigin(SERVICE, "v1", new EndpointId("a")));
		this.fleet.forEach((peer) -> peer.list(Set.of("v1", "v2")));
		this.fleet.forEach((peer) -> peer.exchange.tick(this.now));
		runFor(Duration.ofMillis(20));
		first.restart();
		for (Peer peer : this.fleet) {
			peer.exchange.find(stream, ROUTE, (origin) -> ended(origin, "v1", this.now));
		}
		runFor(Duration.ofSeconds(1));
		assertThat(this.found).isEqualTo(9);
	}

	// Guards against streams that go on at a version that did not begin them, since all
	// gateways were killed when the version that began them left.
	@ParameterizedTest
	@CsvSource({ "9, 1", "90, 2" })
	void originIsNotGuessedAfterAllGatewaysWereKilled(int gateways, long seed) {
		start(gateways, seed);
		for (Duration away : List.of(Duration.ZERO, Duration.ofSeconds(1), Duration.ofMillis(5900))) {
			this.fleet.forEach((peer) -> peer.list(Set.of("v1")));
			runWhileConfirmed(Duration.ofSeconds(10));
			List<StreamKey> streams = IntStream.range(0, 20).mapToObj((i) -> begin(randomPeer(), 1)).toList();
			runFor(Duration.ofMillis(5));
			this.fleet.forEach(Peer::restart);
			this.fleet.forEach((peer) -> peer.list(Set.of("v2")));
			runWhileConfirmed(away);
			streams.forEach((stream) -> returnTo(randomPeer(), stream, 1));
			runFor(Duration.ofSeconds(1));
		}
		assertThat(this.wrong + this.found).isZero();
		assertThat(this.unknown).isEqualTo(60);
	}

	// Guards against streams that go on at a version that did not begin them, at a
	// gateway
	// that cannot reach the others and has not read yet that there is a second version.
	@Test
	void originIsNotGuessedFromAListThatIsOlderThanTheReturn() {
		start(9, 1);
		this.fleet.forEach((peer) -> peer.list(Set.of("v1")));
		runWhileConfirmed(Duration.ofSeconds(10));
		Peer outOfStep = this.fleet.getFirst();
		outOfStep.listed.unread = Set.of("v1", "v2");
		this.lossRate = 1;
		returnTo(outOfStep, begin(this.fleet.getLast(), 2), 2);
		runFor(Duration.ofSeconds(1));
		assertThat(this.wrong).isZero();
		assertThat(this.unknown).isEqualTo(1);
	}

	// Guards against the same while that gateway cannot read the list, and against
	// callers
	// that wait for it.
	@Test
	void originIsNotGuessedWhileTheListCannotBeRead() {
		start(9, 1);
		this.fleet.forEach((peer) -> peer.list(Set.of("v1")));
		runWhileConfirmed(Duration.ofSeconds(10));
		Peer outOfStep = this.fleet.getFirst();
		outOfStep.listed.unreadableSince = this.now;
		runFor(Duration.ofSeconds(1));
		this.lossRate = 1;
		returnTo(outOfStep, begin(this.fleet.getLast(), 2), 2);
		runFor(Duration.ofSeconds(1));
		assertThat(this.wrong).isZero();
		assertThat(this.unknown).isEqualTo(1);
		assertThat(this.slowest).isLessThan(Duration.ofMillis(600));
	}

	// Guards against streams whose cost to other gateways grows with the fleet.
	@ParameterizedTest
	@CsvSource({ "9", "90", "300" })
	void aStreamCostsThreeSmallDatagrams(int gateways) {
		start(gateways, 1);
		for (int i = 0; i < STREAMS; i++) {
			begin(randomPeer(), i);
		}
		runFor(Duration.ofMillis(20));
		assertThat(this.datagrams).isEqualTo(3 * STREAMS);
		assertThat(this.bytes).isLessThan(3 * STREAMS * MAXIMUM_RECORD_BYTES);
		int most = this.fleet.stream().mapToInt((peer) -> peer.exchange.size()).max().orElse(0);
		assertThat(most).as("records at one gateway").isLessThan(STREAMS * 4 * 4 / gateways + 20);
	}

	// Guards against an origin that is guessed for a request that never was, or one of
	// another account.
	@ParameterizedTest
	@CsvSource({ "9", "90" })
	void originOfAnUnknownStreamIsNotGuessed(int gateways) {
		start(gateways, 1);
		this.lossRate = 0.05;
		for (int i = 0; i < 50; i++) {
			StreamKey stream = begin(randomPeer(), i);
			runFor(Duration.ofMillis(5));
			returnTo(randomPeer(), new StreamKey(stream.high() + 1, stream.low()), i);
			runFor(Duration.ofMillis(300));
		}
		assertThat(this.found + this.wrong).isZero();
		assertThat(this.unknown).isEqualTo(50);
		assertThat(this.slowest).isLessThan(Duration.ofMillis(250));
	}

	// Begins streams one after the other and takes each up at another gateway after a
	// failure.
	private void resumeAfter(int streams, Consumer<Peer> failure, boolean inSameDataCenter) {
		for (int i = 0; i < streams; i++) {
			Peer first = randomPeer();
			StreamKey stream = begin(first, i);
			runFor(Duration.ofMillis(5));
			failure.accept(first);
			returnTo(otherPeer(first, inSameDataCenter ? first.dataCenter : null), stream, i);
			runFor(Duration.ofMillis(300));
		}
	}

	private void assertFound(double minimumShare) {
		String measured = "%d found, %d wrong, %d unknown, slowest %s, %.1f datagrams and %.0f bytes a stream"
			.formatted(this.found, this.wrong, this.unknown, this.slowest,
					this.datagrams / (double) (this.found + this.unknown),
					this.bytes / (double) (this.found + this.unknown));
		log.info(measured);
		assertThat(this.wrong).as(measured).isZero();
		assertThat(this.found / (double) (this.found + this.unknown)).as(measured).isGreaterThanOrEqualTo(minimumShare);
	}

	private void start(int gateways, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < gateways; i++) {
			Peer peer = new Peer(i);
			this.fleet.add(peer);
			this.byAddress.put(peer.address.address(), peer);
		}
		this.fleet.forEach(Peer::start);
	}

	private Peer randomPeer() {
		return this.fleet.get(this.random.nextInt(this.fleet.size()));
	}

	private Peer otherPeer(Peer first, @Nullable DataCenterName dataCenter) {
		Peer other = randomPeer();
		while (other == first || (dataCenter != null && !other.dataCenter.equals(dataCenter))) {
			other = randomPeer();
		}
		return other;
	}

	private static String version(int number) {
		return "v" + number % 3;
	}

	private StreamKey begin(Peer peer, int number) {
		StreamKey stream = new StreamKey(1, this.random.nextLong());
		peer.exchange.record(stream, ROUTE,
				new StreamOrigin(SERVICE, version(number), new EndpointId("endpoint-" + number % 12)));
		return stream;
	}

	private void returnTo(Peer peer, StreamKey stream, int number) {
		long startedAt = this.now;
		peer.exchange.find(stream, ROUTE, (origin) -> ended(origin, version(number), startedAt));
	}

	private void ended(@Nullable KnownOrigin origin, String version, long startedAt) {
		if (origin == null) {
			this.unknown++;
		}
		else if (origin.origin().version().equals(version)) {
			this.found++;
		}
		else {
			this.wrong++;
		}
		Duration elapsed = Duration.ofNanos(this.now - startedAt);
		this.slowest = (elapsed.compareTo(this.slowest) > 0) ? elapsed : this.slowest;
	}

	private void schedule(Runnable action, Duration delay) {
		this.events.add(new Event(this.now + delay.toNanos(), this.eventCount++, action));
	}

	private void runFor(Duration duration) {
		long end = this.now + duration.toNanos();
		while (!this.events.isEmpty() && this.events.peek().at() <= end) {
			Event next = Objects.requireNonNull(this.events.poll());
			this.now = Math.max(this.now, next.at());
			next.action().run();
		}
		this.now = end;
	}

	// The gateways read in short intervals which versions are listed.
	private void runWhileConfirmed(Duration duration) {
		long end = this.now + duration.toNanos();
		while (this.now < end) {
			runFor(Duration.ofNanos(Math.min(MAXIMUM_AGE.toNanos() / 2, end - this.now)));
			this.fleet.forEach((peer) -> peer.onlyVersions.recordVersions(List.of(SERVICE), this.now));
		}
	}

	private void deliver(Peer from, InetSocketAddress to, byte[] message) {
		this.datagrams++;
		this.bytes += message.length;
		Peer receiver = Objects.requireNonNull(this.byAddress.get(to));
		boolean separated = !from.dataCenter.equals(receiver.dataCenter)
				&& (this.cut.contains(from.dataCenter) || this.cut.contains(receiver.dataCenter));
		if (separated || this.random.nextDouble() < this.lossRate) {
			return;
		}
		schedule(() -> receiver.receive(from, message),
				Duration.ofNanos(MILLISECOND + this.random.nextLong(MILLISECOND)));
	}

	private record Event(long at, long number, Runnable action) {
	}

	/**
	 * A gateway of the fleet.
	 */
	private final class Peer {

		private final int number;

		private final DataCenterName dataCenter;

		private final GatewayAddress address;

		private final PeerMessageCodec codec = new PeerMessageCodec();

		private GatewayDirectory directory;

		private ListedStub listed = new ListedStub();

		private OnlyVersions onlyVersions = new OnlyVersions(this.listed, MAXIMUM_AGE);

		private StreamOriginExchange exchange;

		Peer(int number) {
			this.number = number;
			this.dataCenter = new DataCenterName("dc-" + number % DATA_CENTERS);
			this.address = new GatewayAddress("gateway-" + number, address(number), this.dataCenter, 1);
			this.directory = new GatewayDirectory(this.address);
			this.exchange = newExchange();
		}

		private static InetSocketAddress address(int number) {
			try {
				return new InetSocketAddress(
						InetAddress.getByAddress(new byte[] { 10, 0, (byte) (number / 250), (byte) (number % 250) }),
						7500);
			}
			catch (java.net.UnknownHostException ex) {
				throw new IllegalStateException(ex);
			}
		}

		void start() {
			for (Peer peer : StreamOriginFleetTests.this.fleet) {
				this.directory.changed(new TopicRecord(peer.number, peer.address.name(),
						peer.address.format().getBytes(StandardCharsets.UTF_8)));
			}
		}

		void restart() {
			restart(Duration.ZERO);
		}

		// A process that starts knows nothing of before.
		void restart(Duration untilOthersAreKnown) {
			this.directory = new GatewayDirectory(this.address);
			this.listed = new ListedStub();
			this.onlyVersions = new OnlyVersions(this.listed, MAXIMUM_AGE);
			this.exchange = newExchange();
			if (untilOthersAreKnown.isZero()) {
				start();
			}
			else {
				schedule(this::start, untilOthersAreKnown);
			}
		}

		private StreamOriginExchange newExchange() {
			StreamOriginExchange created = new StreamOriginExchange(this.address, this.directory, new PeerTransport() {

				@Override
				public void write(InetSocketAddress to, byte[] message) {
					deliver(Peer.this, to, message);
				}

				@Override
				public void flush() {
				}

			}, () -> StreamOriginFleetTests.this.now, StreamOriginFleetTests.this::schedule, this.onlyVersions);
			created.configure(List.of(ROUTE));
			return created;
		}

		void list(Set<String> versions) {
			this.listed.versions = versions;
			this.onlyVersions.recordVersions(List.of(SERVICE), StreamOriginFleetTests.this.now);
		}

		void receive(Peer from, byte[] message) {
			this.exchange.receive(from.address.address(), from.address.name(),
					(StreamOriginMessage) this.codec.read(message));
		}

	}

	/**
	 * The list of endpoints of one gateway, which the store confirms unless it cannot be
	 * read.
	 */
	private final class ListedStub implements ListedVersions {

		private Set<String> versions = Set.of();

		/** The newest list, which the gateway has not read yet. */
		private @Nullable Set<String> unread;

		private @Nullable Long unreadableSince;

		@Override
		public Set<String> of(ServiceName service) {
			return this.versions;
		}

		@Override
		public Long confirmedAt() {
			return (this.unreadableSince != null) ? this.unreadableSince : StreamOriginFleetTests.this.now;
		}

		@Override
		public boolean confirmedSince(long time) {
			if (this.unreadableSince == null && this.unread != null) {
				this.versions = this.unread;
				this.unread = null;
				return false;
			}
			return confirmedAt() >= time;
		}

	}

}
