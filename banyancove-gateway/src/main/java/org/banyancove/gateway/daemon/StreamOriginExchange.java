package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.resumption.OriginHolders;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.resumption.StreamOrigin;
import org.banyancove.gateway.resumption.StreamOriginTable;
import org.banyancove.gateway.resumption.StreamOrigins;
import org.banyancove.gateway.shared.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges the origins of streams with the other gateways as datagrams.
 * <p>
 * A caller returns because its endpoint failed, or because its gateway did, and reaches
 * any gateway. The gateway that begins a stream therefore replicates its origin to a few
 * others, selected by a hash of the stream, before the first event is forwarded; the
 * gateway that the caller returns to asks them. While a route has had one version for
 * longer than a caller may take to return, no origin is replicated.
 */
final class StreamOriginExchange implements StreamOrigins {

	/** Interval at which a query is repeated: a datagram may be lost. */
	private static final Duration REPEAT_INTERVAL = Duration.ofMillis(50);

	/**
	 * Number of times that a query is sent. Gateways that answer none of them are
	 * unreachable.
	 */
	private static final int MAXIMUM_SENDS = 4;

	/** Interval at which an origin is sought while the store is read. */
	private static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(10);

	/**
	 * Maximum time from the start of a search until the store has confirmed which
	 * versions are listed. The caller of an unknown stream may begin anew.
	 */
	private static final Duration MAXIMUM_CONFIRMATION_TIME = Duration.ofMillis(500);

	/** Bounds the size of a message. */
	private static final int MAXIMUM_ORIGINS_IN_MESSAGE = 200;

	/** Bounds the queries for requests that never existed. */
	private static final int MAXIMUM_SEARCHES = 1024;

	private final GatewayDirectory directory;

	private final PeerTransport transport;

	private final MonotonicClock clock;

	private final BiConsumer<Runnable, Duration> scheduler;

	private final OriginHolders holders;

	private final PeerMessageCodec codec = new PeerMessageCodec();

	private final StreamOriginTable table = new StreamOriginTable();

	private final OnlyVersions onlyVersions;

	private final Map<Long, Search> searches = new HashMap<>();

	/** Streams whose route had only one version when they began. */
	private final Set<StreamKey> unreplicated = new HashSet<>();

	private final Map<String, Route> routesByPath = new HashMap<>();

	private long searchCount;

	/**
	 * Creates the exchange.
	 * @param own this gateway
	 * @param directory the gateways of the fleet
	 * @param transport sends the messages
	 * @param clock the monotonic clock
	 * @param scheduler runs an action after a delay
	 * @param onlyVersions the routes that have had one version only
	 */
	StreamOriginExchange(GatewayAddress own, GatewayDirectory directory, PeerTransport transport, MonotonicClock clock,
			BiConsumer<Runnable, Duration> scheduler, OnlyVersions onlyVersions) {
		this.directory = directory;
		this.transport = transport;
		this.clock = clock;
		this.scheduler = scheduler;
		this.onlyVersions = onlyVersions;
		this.holders = new OriginHolders(new OriginHolders.Member(own.name(), own.dataCenter()));
	}

	/**
	 * Sets the routes of the current configuration.
	 * @param newRoutes the routes
	 */
	void configure(List<Route> newRoutes) {
		this.routesByPath.clear();
		newRoutes.forEach((route) -> this.routesByPath.put(route.host() + route.pathPrefix(), route));
		this.onlyVersions.recordRoutes(newRoutes, this.clock.nanos());
	}

	@Override
	public void record(StreamKey stream, Route route, StreamOrigin origin) {
		long now = this.clock.nanos();
		this.table.put(stream, origin, Duration.ZERO, now);
		KnownOrigin only = this.onlyVersions.originOf(route, now);
		if (only != null && only.origin().version().equals(origin.version())) {
			this.unreplicated.add(stream);
			return;
		}
		replicate(Map.of(stream, new KnownOrigin(origin, KnownOrigin.Source.RECORD, Duration.ZERO)));
	}

	/**
	 * Forgets what has expired, and replicates the remaining origins of a service once a
	 * second version is listed.
	 * @param now the current time
	 */
	void tick(long now) {
		this.table.expire(now);
		Map<StreamKey, KnownOrigin> origins = new HashMap<>();
		this.unreplicated.removeIf((stream) -> {
			KnownOrigin known = this.table.find(stream, now);
			if (known != null && !this.onlyVersions.listsOnly(known.origin(), now)) {
				origins.put(stream, known);
			}
			return known == null || origins.containsKey(stream);
		});
		replicate(origins);
	}

	/** Replicates all origins, because this gateway shuts down. */
	void handOver() {
		Map<StreamKey, KnownOrigin> origins = new HashMap<>();
		this.table.forEach(origins::put, this.clock.nanos());
		replicate(origins);
	}

	private void replicate(Map<StreamKey, KnownOrigin> origins) {
		if (origins.isEmpty()) {
			return;
		}
		List<OriginHolders.Member> members = this.directory.originHolders();
		Map<String, Map<StreamKey, KnownOrigin>> byHolder = new HashMap<>();
		origins.forEach((stream, origin) -> {
			for (String holder : this.holders.holders(stream, members)) {
				byHolder.computeIfAbsent(holder, (name) -> new HashMap<>()).put(stream, origin);
			}
		});
		byHolder.forEach(this::replicate);
		this.transport.flush();
	}

	private void replicate(String holder, Map<StreamKey, KnownOrigin> origins) {
		List<Map.Entry<StreamKey, KnownOrigin>> entries = new ArrayList<>(origins.entrySet());
		for (int from = 0; from < entries.size(); from += MAXIMUM_ORIGINS_IN_MESSAGE) {
			Map<StreamKey, KnownOrigin> part = new HashMap<>();
			entries.subList(from, Math.min(entries.size(), from + MAXIMUM_ORIGINS_IN_MESSAGE))
				.forEach((entry) -> part.put(entry.getKey(), entry.getValue()));
			write(holder, new StreamOriginMessage.Replication(part));
		}
	}

	private void write(String gateway, StreamOriginMessage message) {
		InetSocketAddress address = this.directory.address(gateway);
		if (address != null) {
			this.transport.write(address, this.codec.write(message));
		}
	}

	@Override
	public void find(StreamKey stream, Route route, Consumer<@Nullable KnownOrigin> listener) {
		KnownOrigin remembered = this.table.find(stream, this.clock.nanos());
		if (remembered != null) {
			listener.accept(remembered);
			return;
		}
		if (this.searches.size() >= MAXIMUM_SEARCHES) {
			listener.accept(null);
			return;
		}
		long number = ++this.searchCount;
		Search search = new Search(new StreamOriginMessage.Query(number, stream, route.host(), route.pathPrefix()),
				route, listener, this.clock.nanos());
		this.searches.put(number, search);
		query(search);
	}

	// A gateway that has just started may not know the others yet.
	private void query(Search search) {
		if (!this.searches.containsKey(search.query.number())) {
			return;
		}
		if (search.sends == MAXIMUM_SENDS) {
			conclude(search);
			return;
		}
		search.sends++;
		unanswered(search).forEach((gateway) -> write(gateway, search.query));
		this.transport.flush();
		this.scheduler.accept(() -> query(search), REPEAT_INTERVAL);
	}

	private List<String> unanswered(Search search) {
		return this.holders.candidates(search.query.stream(), this.directory.originHolders())
			.stream()
			.filter((gateway) -> !search.answered.contains(gateway))
			.toList();
	}

	// Without a record, the stream can only have begun at the only version. Another one
	// may have begun it since the list of endpoints was read.
	private void conclude(Search search) {
		this.searches.remove(search.query.number());
		long now = this.clock.nanos();
		KnownOrigin only = onlyOrigin(search, now);
		if (only == null || this.onlyVersions.confirmedSince(search.startedAt)) {
			search.listener.accept(only);
		}
		else if (now - search.startedAt < MAXIMUM_CONFIRMATION_TIME.toNanos()) {
			this.scheduler.accept(() -> conclude(search), CONFIRMATION_INTERVAL);
		}
		else {
			search.listener.accept(null);
		}
	}

	private @Nullable KnownOrigin onlyOrigin(Search search, long now) {
		KnownOrigin own = this.onlyVersions.originOf(search.route, now);
		KnownOrigin other = search.onlyVersion;
		return (own == null && other != null && this.onlyVersions.listsOnly(other.origin(), now)) ? other : own;
	}

	/**
	 * Handles a message of another gateway.
	 * @param sender its address
	 * @param gateway its name, or {@code null} if it is not known
	 * @param message the message
	 */
	void receive(InetSocketAddress sender, @Nullable String gateway, StreamOriginMessage message) {
		long now = this.clock.nanos();
		switch (message) {
			case StreamOriginMessage.Replication replication -> replication.origins()
				.forEach((stream, known) -> this.table.put(stream, known.origin(), known.age(), now));
			case StreamOriginMessage.Query query -> {
				this.transport.write(sender, this.codec.write(reply(query, now)));
				this.transport.flush();
			}
			case StreamOriginMessage.Reply reply -> receive(gateway, reply);
		}
	}

	private StreamOriginMessage.Reply reply(StreamOriginMessage.Query query, long now) {
		KnownOrigin known = this.table.find(query.stream(), now);
		Route route = this.routesByPath.get(query.host() + query.pathPrefix());
		if (known == null && route != null) {
			known = this.onlyVersions.originOf(route, now);
		}
		return new StreamOriginMessage.Reply(query.number(), known);
	}

	private void receive(@Nullable String gateway, StreamOriginMessage.Reply reply) {
		Search search = this.searches.get(reply.number());
		if (search == null) {
			return;
		}
		KnownOrigin origin = reply.origin();
		if (origin != null && origin.source() == KnownOrigin.Source.PEER) {
			this.searches.remove(reply.number());
			this.table.put(search.query.stream(), origin.origin(), origin.age(), this.clock.nanos());
			search.listener.accept(origin);
			return;
		}
		if (origin != null) {
			search.onlyVersion = origin;
		}
		if (gateway != null) {
			search.answered.add(gateway);
		}
		if (unanswered(search).isEmpty()) {
			conclude(search);
		}
	}

	/**
	 * Returns the number of remembered origins.
	 * @return the number
	 */
	int size() {
		return this.table.size();
	}

	/**
	 * A search for an origin at other gateways.
	 */
	private static final class Search {

		private final StreamOriginMessage.Query query;

		private final Route route;

		private final Consumer<@Nullable KnownOrigin> listener;

		private final long startedAt;

		private final Set<String> answered = new HashSet<>();

		private @Nullable KnownOrigin onlyVersion;

		private int sends;

		Search(StreamOriginMessage.Query query, Route route, Consumer<@Nullable KnownOrigin> listener, long startedAt) {
			this.startedAt = startedAt;
			this.query = query;
			this.route = route;
			this.listener = listener;
		}

	}

}
