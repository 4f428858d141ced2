package org.banyancove.entry;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.AccountName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.entry.EntryCommand;
import org.banyancove.core.entry.EntryCore;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.core.entry.EntryIdentity;
import org.banyancove.core.entry.EntrySettings;
import org.banyancove.core.entry.TraceLine;
import org.banyancove.core.ledger.ClaimSettings;
import org.banyancove.core.routing.EndpointRegion;
import org.banyancove.entry.caller.Accounts;
import org.banyancove.entry.caller.CallerConnections;
import org.banyancove.entry.caller.CallerServer;
import org.banyancove.entry.caller.CallerServerSettings;
import org.banyancove.entry.endpoint.EndpointClient;
import org.banyancove.entry.endpoint.EngineLoadPoller;
import org.banyancove.entry.platform.LogAdapter;
import org.banyancove.entry.platform.PeerSeeds;
import org.banyancove.entry.platform.PriceTable;
import org.banyancove.entry.platform.VmWatcher;
import org.banyancove.platform.CloudClient;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.NoticeClient;
import org.banyancove.platform.PlatformConnection;
import org.banyancove.platform.VmListClient;
import org.banyancove.platform.profile.ProfileRecordCodec;
import org.banyancove.program.MetricsText;
import org.banyancove.program.SocketAddressText;
import org.banyancove.program.StatusPages;
import org.banyancove.transport.PeerTransport;
import org.banyancove.transport.TransportSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running entry: the core on its tick loop and the adapters around it.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EntryDaemon.class);

	static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

	private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(20);

	private final ExecutorService platformExecutor = Executors.newVirtualThreadPerTaskExecutor();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final CallerConnections callers = new CallerConnections();

	private final AtomicLong lastRequestNumber = new AtomicLong();

	private final EntryProgramSettings settings;

	private final EntryIdentity identity;

	private final EntryCore core;

	private final EntryLoop loop;

	private final TraceRecorder trace;

	private final SampleRecorder samples;

	private final PlatformConnection platform;

	private final EndpointClient endpoints;

	private final EngineLoadPoller loadPoller;

	private final LogAdapter log;

	private final VmWatcher vmWatcher;

	private final PriceTable prices;

	private final CallerServer server;

	private final PeerTransport transport;

	private final InetSocketAddress peerAddress;

	private final PeerSeeds seeds;

	/**
	 * Creates an entry and binds its addresses.
	 * @param settings the settings
	 * @param clock the clock
	 * @param seed the seed of the random generators
	 */
	public EntryDaemon(EntryProgramSettings settings, InstantSource clock, long seed) {
		RandomGenerator random = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
		EventClock eventClock = new EventClock(clock);
		this.settings = settings;
		EntryProgramSettings.Identity process = settings.process();
		Incarnation incarnation = new Incarnation(process.vm(), random.nextLong());
		this.transport = new PeerTransport(TransportSettings.defaults(), random,
				(message) -> post(new EntryEvent.PeerMessageArrived(message)));
		this.peerAddress = this.transport.listen(SocketAddressText.parse(settings.peers().address()));
		this.identity = new EntryIdentity(incarnation, process.dataCenter(), process.zone(),
				SocketAddressText.format(this.peerAddress));
		this.platform = new PlatformConnection(settings.platform().address(), settings.platform().timeout(),
				this.platformExecutor);
		LogClient logClient = new LogClient(this.platform);
		EventSink events = this::post;
		PrometheusRegistry registry = new PrometheusRegistry();
		this.samples = new SampleRecorder(registry, settings.files().samples());
		this.seeds = new PeerSeeds(settings.peers().seeds());
		this.endpoints = new EndpointClient(settings.endpoints().connectTimeout(), settings.endpoints().answerTimeout(),
				events);
		this.loadPoller = new EngineLoadPoller(settings.platform().timeout(), events);
		this.log = new LogAdapter(logClient, settings.platform().readWait(), this.timer, events);
		this.prices = new PriceTable(new CloudClient(this.platform));
		this.vmWatcher = new VmWatcher(new VmListClient(this.platform), new NoticeClient(this.platform), this.prices,
				settings.platform().readWait(), this.timer, events, this.loadPoller::setEngines,
				EndpointRegion.of(process.dataCenter(), Set.copyOf(settings.endpoints().region())), this.seeds);
		Consumer<EntryCommand> commands = new CommandExecutor(this.callers, this.endpoints, this.log, this.transport,
				events, this.samples);
		this.core = new EntryCore(this.identity, coreSettings(settings), new ProfileRecordCodec(), eventClock,
				RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed), commands);
		this.trace = trace(settings, new TraceLine.Start(eventClock.instant(), this.identity, seed));
		this.loop = new EntryLoop(this.core, eventClock, this.trace);
		new EntryMetrics(this.core, this.loop, this.callers).register(registry);
		MetricsText metrics = new MetricsText(registry);
		StatusPages pages = new StatusPages(() -> this.loop.read(this.core::isReady), metrics::text, this::status);
		this.server = new CallerServer(serverSettings(settings), this.callers, events, this::nextRequestId, pages);
	}

	/**
	 * Starts to serve requests.
	 */
	public void start() {
		this.prices.start(this.timer);
		this.vmWatcher.start(this.settings.platform().listInterval());
		this.loadPoller.start(this.settings.endpoints().loadInterval(), this.timer);
		this.log.readKeySlots(coreSettings(this.settings).claims().slots());
		post(new EntryEvent.VmsListed(Instant.EPOCH, List.of(), List.of(), this.seeds.entries()));
		this.loop.start(TICK_INTERVAL);
		this.server.start();
		logger.info("Entry {} of {} listens on {}", this.identity.incarnation(), this.identity.dataCenter(), address());
	}

	/**
	 * Returns the address on which callers are served.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the address on which other entries are served.
	 * @return the bound address
	 */
	public InetSocketAddress peerAddress() {
		return this.peerAddress;
	}

	/**
	 * Stops gracefully: rejects new requests, completes requests in flight, hands over
	 * those that take longer than {@code callers.hand-over-after}, and keeps the callers'
	 * connections open until their answers are complete, for at most
	 * {@code callers.stop-patience}.
	 * @return whether all requests were completed
	 * @throws InterruptedException if the wait is interrupted
	 */
	public boolean stop() throws InterruptedException {
		logger.info("Stopping entry {}", this.identity.incarnation());
		EntryProgramSettings.Callers callers = this.settings.callers();
		long deadline = System.nanoTime() + callers.stopPatience().toNanos();
		long handOverDeadline = Math.min(deadline, System.nanoTime() + callers.handOverAfter().toNanos());
		post(new EntryEvent.StopRequested());
		boolean idle = awaitIdle(handOverDeadline);
		if (!idle) {
			// If the process manager's stop timeout expires, it kills this process and
			// with it all requests that only this process runs. After the hand-over
			// other entries run them, and this process only forwards their answers.
			post(new EntryEvent.HandOverRequested());
			idle = awaitIdle(deadline);
		}
		close();
		logger.info("Entry {} stopped, {}", this.identity.incarnation(),
				idle ? "all requests completed" : "requests were interrupted");
		return idle;
	}

	@Override
	public void close() {
		this.server.close();
		this.loop.close();
		this.trace.close();
		this.samples.close();
		this.timer.shutdownNow();
		this.transport.close();
		this.endpoints.close();
		this.platform.close();
		this.platformExecutor.shutdownNow();
	}

	private static TraceRecorder trace(EntryProgramSettings settings, TraceLine.Start start) {
		String file = settings.files().events();
		return (file != null) ? new JsonTraceRecorder(Path.of(file), start) : TraceRecorder.none();
	}

	private boolean awaitIdle(long deadline) throws InterruptedException {
		while (!isIdle() && System.nanoTime() - deadline < 0) {
			Thread.sleep(STOP_POLL_INTERVAL);
		}
		return isIdle();
	}

	private boolean isIdle() {
		return this.loop.read(this.core::canStop) && this.callers.size() == 0;
	}

	private void post(EntryEvent event) {
		this.loop.post(event);
	}

	private RequestId nextRequestId() {
		Incarnation incarnation = this.identity.incarnation();
		return new RequestId(incarnation.vm() + "-" + Long.toHexString(incarnation.start()) + "-"
				+ this.lastRequestNumber.incrementAndGet());
	}

	private String status() {
		return this.loop.read(() -> new StatusDocument(this.identity, this.core).text());
	}

	private static CallerServerSettings serverSettings(EntryProgramSettings settings) {
		Map<String, AccountName> accounts = new HashMap<>();
		settings.accounts().forEach((account) -> accounts.put(account.credential(), account.name()));
		return new CallerServerSettings(SocketAddressText.parse(settings.callers().address()),
				settings.callers().maximumBodyBytes(), new Accounts(accounts));
	}

	static EntrySettings coreSettings(EntryProgramSettings settings) {
		EntryProgramSettings.Callers callers = settings.callers();
		EntryProgramSettings.Ledger ledger = settings.ledger();
		ClaimSettings claimDefaults = ClaimSettings.defaults();
		ClaimSettings claims = new ClaimSettings(ledger.slots(), ledger.batchWindow(), claimDefaults.appendTimeout(),
				ledger.keyWindow(), ledger.answerWindow(), ledger.retention(), claimDefaults.outcomeWait(),
				claimDefaults.retryAfter(), claimDefaults.appendsPerSecond(), claimDefaults.appendsInFlight(),
				claimDefaults.recordsPerAppend(), claimDefaults.requests(), claimDefaults.storedBodyBytes());
		EntrySettings entryDefaults = EntrySettings.defaults(Set.copyOf(settings.peers().nearby()));
		return new EntrySettings(callers.keepAnswers(), callers.keepAnswerBytes(), callers.maximumRequests(),
				entryDefaults.suspectSettleTime(), settings.platform().profileReaders(), claims,
				entryDefaults.streams(), entryDefaults.handover(), entryDefaults.membership(),
				Set.copyOf(settings.endpoints().region()), settings.endpoints().placement());
	}

}
