package org.banyancove.gateway.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.embedded.EmbeddedChannel;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.duty.GatewayReport;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.SharedStateVersion;
import org.banyancove.gateway.duty.TrafficTotals;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.banyancove.gateway.quarantine.RequestQuarantine;
import org.banyancove.gateway.quarantine.SuspectKeys;
import org.banyancove.gateway.resumption.OnlyVersions;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.shared.TopicRecord;
import org.jspecify.annotations.Nullable;

/**
 * A fleet over simulated time whose endpoints end when they begin to answer a request
 * that lists a deadly part.
 */
final class CrashSimulation {

	private static final ServiceName SERVICE = new ServiceName("service");

	private static final int DATA_CENTERS = 3;

	private static final Duration STEP = Duration.ofMillis(10);

	private static final Duration TIME_TO_FIRST_EVENT = Duration.ofMillis(250);

	private static final Duration RESPONSE_TIME = Duration.ofMillis(600);

	private static final Duration RESTART_TIME = Duration.ofSeconds(3);

	/** Time after a crash or a disruption by which a gateway must know. */
	static final Duration CONTACT_TIME = Duration.ofSeconds(3);

	/** The crash from which on a part counts as known. */
	private static final int KNOWN_AFTER_CRASHES = 5;

	private final List<Node> fleet = new ArrayList<>();

	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	private final List<Backend> backends = new ArrayList<>();

	private final List<Source> sources = new ArrayList<>();

	private final SplittableRandom random;

	private final Map<Long, Long> knownAt = new HashMap<>();

	private final Map<Long, Integer> crashesByPart = new HashMap<>();

	private final Map<Long, Integer> lateArrivals = new HashMap<>();

	private Set<Long> deadlyParts = new HashSet<>();

	private double lossRate;

	private boolean disrupted;

	private long requests;

	private long now;

	private int crashes;

	private int soundSent;

	private int soundBegun;

	private int deadlySent;

	CrashSimulation(int gateways, int endpoints, long seed) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < endpoints; i++) {
			this.backends.add(new Backend(i));
		}
		for (int i = 0; i < gateways; i++) {
			Node node = new Node(i);
			this.fleet.add(node);
			this.byAddress.put(node.address.address(), node);
		}
		this.fleet.forEach(Node::restart);
	}

	/**
	 * Adds requests that arrive at random gateways.
	 * @param perSecond their number in a second
	 * @param parts supplies the shared parts of the next one's prompt
	 */
	void addSource(double perSecond, Supplier<List<Long>> parts) {
		this.sources.add(new Source(perSecond, parts));
	}

	void clearSources() {
		this.sources.clear();
	}

	void setDeadlyParts(Long... parts) {
		this.deadlyParts = Set.of(parts);
	}

	void setLossRate(double newLossRate) {
		this.lossRate = newLossRate;
	}

	void setDisrupted(boolean newDisrupted) {
		this.disrupted = newDisrupted;
	}

	SplittableRandom random() {
		return this.random;
	}

	/** Ends all endpoints of a data center within a short time. */
	void endDataCenter(int dataCenter, Duration downTime) {
		this.backends.stream()
			.filter((backend) -> backend.number % DATA_CENTERS == dataCenter)
			.forEach((backend) -> backend.end(downTime));
	}

	void endEndpoint(int endpoint) {
		this.backends.get(endpoint).end(RESTART_TIME);
	}

	void resetConnections(int gateway) {
		this.fleet.get(gateway).resetConnections();
	}

	void restartAll() {
		this.fleet.forEach((node) -> {
			node.restart();
			node.disruptedAt = this.now;
		});
	}

	/** Returns the requests with a part that were sent too late. */
	int lateArrivals(long part) {
		return this.lateArrivals.getOrDefault(part, 0);
	}

	int crashes() {
		return this.crashes;
	}

	int crashes(long part) {
		return this.crashesByPart.getOrDefault(part, 0);
	}

	int deadlySent() {
		return this.deadlySent;
	}

	/** Starts to count the sound requests anew. */
	void resetSoundCounts() {
		this.soundSent = 0;
		this.soundBegun = 0;
	}

	/** Returns the fraction of the sound requests that began at their first attempt. */
	double soundBegunShare() {
		return (double) this.soundBegun / Math.max(1, this.soundSent);
	}

	int soundSent() {
		return this.soundSent;
	}

	void runFor(Duration time) {
		for (long end = this.now + time.toNanos(); this.now < end; this.now += STEP.toNanos()) {
			for (Source source : this.sources) {
				for (int i = source.arrivals(this.random); i > 0; i--) {
					this.requests++;
					Request request = new Request(new Fingerprint(1, this.requests), source.parts().get());
					this.fleet.get(this.random.nextInt(this.fleet.size())).receive(request);
				}
			}
			if (this.disrupted && this.random.nextInt(100) == 0) {
				disrupt(this.fleet.get(this.random.nextInt(this.fleet.size())));
			}
			this.backends.forEach(Backend::advance);
			this.fleet.forEach(Node::advance);
			deliver();
		}
	}

	private void disrupt(Node node) {
		if (this.random.nextBoolean()) {
			node.frozenUntil = this.now + Duration.ofMillis(200 + this.random.nextInt(1800)).toNanos();
		}
		else {
			node.restart();
		}
		node.disruptedAt = Math.max(this.now, node.frozenUntil);
	}

	private void deliver() {
		List<Message> messages = new ArrayList<>();
		this.fleet.forEach((node) -> {
			messages.addAll(node.outbox);
			node.outbox.clear();
		});
		for (Message message : messages) {
			Node receiver = this.byAddress.get(message.to());
			if (receiver != null && this.random.nextDouble() >= this.lossRate) {
				receiver.inbox.add(message);
			}
		}
	}

	private boolean isDeadly(Request request) {
		return request.parts().stream().anyMatch(this.deadlyParts::contains);
	}

	private void countCrash(List<Request> ended) {
		this.crashes++;
		Set<Long> parts = new HashSet<>();
		ended.forEach((request) -> parts.addAll(request.parts()));
		parts.retainAll(this.deadlyParts);
		for (Long part : parts) {
			if (this.crashesByPart.merge(part, 1, Integer::sum) == KNOWN_AFTER_CRASHES) {
				this.knownAt.put(part, this.now);
			}
		}
	}

	private void countArrival(Node sender, Request request) {
		if (isDeadly(request)) {
			this.deadlySent++;
		}
		for (Long part : request.parts()) {
			Long known = this.knownAt.get(part);
			if (known != null && this.deadlyParts.contains(part) && this.now - known > CONTACT_TIME.toNanos()
					&& sender.inTouch()) {
				this.lateArrivals.merge(part, 1, Integer::sum);
			}
		}
	}

	@SuppressWarnings("ArrayRecordComponent")
	private record Message(InetSocketAddress from, InetSocketAddress to, byte[] content) {
	}

	/**
	 * A request.
	 *
	 * @param content identifies the request; no two are alike
	 * @param parts the parts of its prompt that other requests share
	 */
	private record Request(Fingerprint content, List<Long> parts) {

		SuspectKeys keys() {
			return new SuspectKeys(this.content, this.parts.stream().map(SuspectKeys::ofPart).toList());
		}

	}

	private record Source(double perSecond, Supplier<List<Long>> parts) {

		int arrivals(SplittableRandom random) {
			double perStep = this.perSecond * STEP.toNanos() / 1e9;
			return (int) perStep + ((random.nextDouble() < perStep % 1) ? 1 : 0);
		}

	}

	/**
	 * A request at an endpoint.
	 */
	private static final class Run {

		private final Request request;

		private final Endpoint endpoint;

		private final Backend backend;

		private final int incarnation;

		private final long sentAt;

		private final boolean firstAttempt;

		private boolean begun;

		Run(Request request, Endpoint endpoint, Backend backend, long sentAt, boolean firstAttempt) {
			this.request = request;
			this.endpoint = endpoint;
			this.backend = backend;
			this.incarnation = backend.incarnation;
			this.sentAt = sentAt;
			this.firstAttempt = firstAttempt;
		}

	}

	/**
	 * An endpoint that starts again under another identifier after it has ended.
	 */
	private final class Backend {

		private final int number;

		private int incarnation;

		private long endedUntil = Long.MIN_VALUE;

		private final Deque<Run> runs = new ArrayDeque<>();

		Backend(int number) {
			this.number = number;
		}

		boolean alive() {
			return CrashSimulation.this.now >= this.endedUntil;
		}

		void end(Duration downTime) {
			this.endedUntil = CrashSimulation.this.now + downTime.toNanos();
			this.incarnation++;
			this.runs.clear();
		}

		void advance() {
			List<Request> beginning = this.runs.stream()
				.filter((run) -> !run.begun && CrashSimulation.this.now - run.sentAt >= TIME_TO_FIRST_EVENT.toNanos())
				.map((run) -> run.request)
				.toList();
			if (beginning.stream().anyMatch(CrashSimulation.this::isDeadly)) {
				countCrash(beginning);
				end(RESTART_TIME);
			}
		}

		EndpointEntry entry() {
			return new EndpointEntry(new EndpointId("e-" + this.number + "-" + this.incarnation), SERVICE, "v1",
					new InetSocketAddress(InetAddress.getLoopbackAddress(), 1 + this.number),
					new DataCenterName("dc-" + this.number % DATA_CENTERS), 100, false, false, 1);
		}

	}

	/**
	 * A gateway without callers and sockets.
	 */
	private final class Node implements PeerTransport {

		private final int number;

		private final DataCenterName dataCenter;

		private final GatewayAddress address;

		private final List<Message> outbox = new ArrayList<>();

		private final List<Message> inbox = new ArrayList<>();

		private final Deque<Run> running = new ArrayDeque<>();

		private long incarnation;

		private PeerTable table;

		private FleetExchange exchange;

		private EmbeddedChannel timers = new EmbeddedChannel();

		private EndpointTable endpoints;

		private RequestQuarantine quarantine;

		private long reportAt;

		private long tickAt;

		private long frozenUntil = Long.MIN_VALUE;

		private @Nullable Long disruptedAt;

		Node(int number) {
			this.number = number;
			this.dataCenter = new DataCenterName("dc-" + number % DATA_CENTERS);
			this.address = new GatewayAddress("gateway-" + number,
					new InetSocketAddress("10.0." + number / 200 + "." + (1 + number % 200), 7500), this.dataCenter, 1);
			this.table = new PeerTable(1, this.dataCenter);
			this.endpoints = newEndpoints();
			this.quarantine = newQuarantine();
			this.exchange = newExchange();
		}

		private EndpointTable newEndpoints() {
			return new EndpointTable(newAllocation());
		}

		private FleetAllocation newAllocation() {
			return new FleetAllocation(this.address.name(),
					() -> CrashSimulation.this.fleet.stream().map((node) -> node.address.name()).toList());
		}

		private RequestQuarantine newQuarantine() {
			return new RequestQuarantine(this.endpoints);
		}

		private FleetExchange newExchange() {
			this.timers = new EmbeddedChannel();
			this.timers.freezeTime();
			return new FleetExchange(this.address, this.timers.eventLoop(), () -> CrashSimulation.this.now, this,
					this.table, this::report, (used) -> {
					}, (records) -> {
					}, this.quarantine, new OnlyVersions(new UnreadVersions(), Duration.ofSeconds(2)));
		}

		void restart() {
			this.incarnation = CrashSimulation.this.random.nextLong() >>> 1;
			this.running.forEach((run) -> run.backend.runs.remove(run));
			this.running.clear();
			this.inbox.clear();
			this.table = new PeerTable(this.incarnation, this.dataCenter);
			this.endpoints = newEndpoints();
			this.quarantine = newQuarantine();
			this.exchange = newExchange();
			for (Node other : CrashSimulation.this.fleet) {
				byte[] value = other.address.format().getBytes(StandardCharsets.UTF_8);
				this.exchange.directory().changed(new TopicRecord(0, other.address.name(), value));
			}
			this.reportAt = CrashSimulation.this.now + Duration.ofMillis(this.number * 7L % 250).toNanos();
		}

		private void followEndpoints() {
			CrashSimulation.this.backends.stream()
				.filter(Backend::alive)
				.forEach((backend) -> this.endpoints.put(backend.entry()));
		}

		private boolean frozen() {
			return CrashSimulation.this.now < this.frozenUntil;
		}

		private boolean inTouch() {
			return this.disruptedAt == null || CrashSimulation.this.now - this.disruptedAt > CONTACT_TIME.toNanos();
		}

		void receive(Request request) {
			if (frozen()) {
				return;
			}
			if (!isDeadly(request)) {
				CrashSimulation.this.soundSent++;
			}
			send(request, true);
		}

		private void send(Request request, boolean firstAttempt) {
			long time = CrashSimulation.this.now;
			if (this.quarantine.remaining(request.keys(), time).isPositive()) {
				return;
			}
			List<Backend> alive = new ArrayList<>(CrashSimulation.this.backends);
			alive.removeIf((backend) -> !backend.alive());
			if (alive.isEmpty()) {
				return;
			}
			Backend backend = alive.get(CrashSimulation.this.random.nextInt(alive.size()));
			this.endpoints.put(backend.entry());
			Endpoint endpoint = this.endpoints.get(backend.entry().id());
			if (endpoint == null) {
				return;
			}
			Run run = new Run(request, endpoint, backend, time, firstAttempt);
			this.running.add(run);
			backend.runs.add(run);
			this.quarantine.recordSent(request.keys(), time);
			countArrival(this, request);
		}

		void resetConnections() {
			List<Run> lost = List.copyOf(this.running);
			this.running.clear();
			lost.forEach((run) -> {
				run.backend.runs.remove(run);
				lost(run);
			});
		}

		private void lost(Run run) {
			this.quarantine.recordLoss(run.request.keys(), run.begun, run.endpoint.id(), run.sentAt,
					CrashSimulation.this.now);
			if (run.firstAttempt && !run.begun) {
				send(run.request, false);
			}
		}

		private void advance(Run run) {
			long age = CrashSimulation.this.now - run.sentAt;
			if (run.backend.incarnation != run.incarnation) {
				this.running.remove(run);
				lost(run);
			}
			else if (!run.begun && age >= TIME_TO_FIRST_EVENT.toNanos()) {
				run.begun = true;
				run.endpoint.processLife().answered(run.sentAt, run.sentAt);
				if (run.firstAttempt && !isDeadly(run.request)) {
					CrashSimulation.this.soundBegun++;
				}
			}
			else if (age >= RESPONSE_TIME.toNanos()) {
				this.running.remove(run);
				run.backend.runs.remove(run);
				this.quarantine.recordCompletion(run.request.keys(), run.sentAt + TIME_TO_FIRST_EVENT.toNanos(),
						CrashSimulation.this.now);
			}
		}

		void advance() {
			if (frozen()) {
				return;
			}
			long time = CrashSimulation.this.now;
			this.timers.advanceTimeBy(STEP.toMillis(), TimeUnit.MILLISECONDS);
			this.timers.runScheduledPendingTasks();
			this.inbox.forEach((message) -> this.exchange.handleDatagram(message.from(), message.content()));
			this.inbox.clear();
			List.copyOf(this.running).forEach(this::advance);
			if (time >= this.reportAt) {
				this.reportAt = time + this.exchange.reportInterval().toNanos();
				this.exchange.report(time);
			}
			if (time >= this.tickAt) {
				this.tickAt = time + Duration.ofMillis(200).toNanos();
				this.table.expire(time);
				this.quarantine.expire(time);
				followEndpoints();
			}
		}

		private GatewayReport report() {
			TrafficTotals traffic = new TrafficTotals(Map.of(), Map.of(), Map.of(), Map.of(), RolloutReport.NONE,
					Map.of(), Map.of());
			return new GatewayReport(this.incarnation, this.dataCenter, traffic, false, SharedStateVersion.NONE);
		}

		@Override
		public void write(InetSocketAddress to, byte[] message) {
			this.outbox.add(new Message(this.address.address(), to, message));
		}

		@Override
		public void flush() {
			// Messages are delivered at the end of each step.
		}

	}

}
