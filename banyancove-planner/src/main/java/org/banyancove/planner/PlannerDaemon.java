package org.banyancove.planner;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.banyancove.core.Incarnation;
import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.planner.ClientToken;
import org.banyancove.core.planner.CloudVm;
import org.banyancove.core.planner.Offer;
import org.banyancove.core.planner.OrderResult;
import org.banyancove.core.planner.PlannerSystem;
import org.banyancove.core.planner.StartResult;
import org.banyancove.platform.AppendResult;
import org.banyancove.platform.CloudClient;
import org.banyancove.platform.EngineClient;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.PlatformConnection;
import org.banyancove.platform.VmListClient;
import org.banyancove.platform.VmPrice;
import org.banyancove.platform.lease.LeaseStream;
import org.banyancove.platform.lease.LoggedLeaseRecord;
import org.banyancove.program.MetricsText;
import org.banyancove.program.SocketAddressText;
import org.banyancove.program.StatusPages;
import org.banyancove.program.TickLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a planner: the core on its event loop, and the adapters around it.
 */
final class PlannerDaemon implements CommandResultListener, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PlannerDaemon.class);

	private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private static final Duration PRICE_RETRY_DELAY = Duration.ofSeconds(1);

	private final ExecutorService callExecutor = Executors.newVirtualThreadPerTaskExecutor();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final FailureCounters failures = new FailureCounters();

	private final TickLoop loop = new TickLoop("planner-loop", this.failures);

	private final PlannerProgramSettings settings;

	private final Map<MachineClass, Double> capacities;

	private final PlatformConnection platform;

	private final EngineClient engines;

	private final CloudClient cloud;

	private final LeaseStream leases;

	private final EngineAddresses addresses;

	private final PlannerCommands commands;

	private final PlannerSystem system;

	private final HttpServer server;

	private volatile boolean leasesRead;

	private volatile boolean pricesRead;

	/**
	 * Creates a planner and binds its address.
	 * @param settings the planner's settings
	 * @param clock the wall clock
	 * @param seed the seed of all random choices
	 * @throws IOException if the address cannot be bound
	 */
	PlannerDaemon(PlannerProgramSettings settings, InstantSource clock, long seed) throws IOException {
		RandomGenerator random = RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed);
		PlannerProgramSettings.Identity process = settings.process();
		Incarnation self = new Incarnation(process.vm(), random.nextLong());
		PrometheusRegistry registry = new PrometheusRegistry();
		this.settings = settings;
		this.capacities = settings.machines()
			.stream()
			.collect(Collectors.toMap(PlannerProgramSettings.Machine::name, PlannerProgramSettings.Machine::capacity));
		Duration timeout = settings.platform().timeout();
		this.platform = new PlatformConnection(settings.platform().address(), timeout, this.callExecutor);
		this.engines = new EngineClient(timeout, this.callExecutor);
		this.cloud = new CloudClient(this.platform);
		this.leases = new LeaseStream(new LogClient(this.platform));
		this.addresses = new EngineAddresses(new VmListClient(this.platform));
		this.commands = new PlannerCommands(process.dataCenter(), settings.capacity().service(), this.leases,
				this.cloud, this.engines, this.addresses, new PlannerCounters(registry), this);
		this.system = new PlannerSystem(self, process.dataCenter(), clock, random, settings.plannerSettings(),
				this.commands);
		new PlannerMetrics(this.system, this.loop, this.failures).register(registry, settings.capacity().target());
		MetricsText metrics = new MetricsText(registry);
		StatusPages pages = new StatusPages(() -> this.leasesRead && this.pricesRead, metrics::text,
				() -> this.loop.read(() -> StatusDocument.of(self, process.dataCenter().value(), this.system))
					.toJson());
		this.server = HttpServer.create(SocketAddressText.parse(settings.status().address()), 0);
		this.server.setExecutor(this.callExecutor);
		this.server.createContext("/", pages);
	}

	/**
	 * Starts planning. The core ticks only after the lease stream has been read, so that
	 * a planner that starts late does not request a lease that another planner holds.
	 */
	void start() {
		this.loop.post(() -> this.system.setDesiredState(this.settings.capacity().target(),
				this.settings.engines().desiredState()));
		this.leases.subscribe(this.settings.platform().readWait(), this.timer, this::applyLeaseRecords);
		this.addresses.start(this.settings.pace().listInterval(), this.timer);
		readPrices();
		this.loop.start(TICK_INTERVAL, this::tick);
		this.server.start();
		logger.info("Planner of data center {} listens on {}", this.settings.process().dataCenter(), address());
	}

	InetSocketAddress address() {
		return this.server.getAddress();
	}

	/**
	 * Resigns the lease, so that another planner can acquire it at once, and stops. The
	 * VMs keep running.
	 */
	void stop() {
		logger.info("Planner of data center {} is stopping", this.settings.process().dataCenter());
		CompletableFuture<AppendResult> resignation = this.loop.read(() -> {
			this.system.resign();
			return this.commands.lastAppend();
		});
		resignation.join();
		close();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.loop.close();
		this.timer.shutdownNow();
		this.engines.close();
		this.platform.close();
		this.callExecutor.shutdownNow();
	}

	@Override
	public void vmsListed(long request, List<CloudVm> vms) {
		this.loop.post(() -> this.system.applyList(request, vms));
	}

	@Override
	public void startAnswered(ClientToken token, StartResult result) {
		this.loop.post(() -> this.system.startAnswered(token, result));
	}

	@Override
	public void orderAnswered(VmId vm, OrderResult result) {
		this.loop.post(() -> this.system.orderAnswered(vm, result));
	}

	private void tick() {
		if (this.leasesRead) {
			this.system.tick();
		}
	}

	private void applyLeaseRecords(List<LoggedLeaseRecord> records) {
		this.loop.post(() -> {
			records.forEach(
					(record) -> this.system.applyLeaseRecord(record.offset(), record.record(), record.appendedAt()));
			this.leasesRead = true;
		});
	}

	private void readPrices() {
		this.cloud.prices().whenComplete((prices, failure) -> {
			if (this.timer.isShutdown()) {
				return;
			}
			Duration delay = PRICE_RETRY_DELAY;
			if (failure != null) {
				logger.warn("Cannot read the VM prices: {}", failure.toString());
			}
			else {
				List<Offer> offers = offers(prices);
				this.loop.post(() -> this.system.setOffers(offers));
				this.pricesRead = true;
				delay = this.settings.platform().priceInterval();
			}
			this.timer.schedule(this::readPrices, delay.toMillis(), TimeUnit.MILLISECONDS);
		});
	}

	private List<Offer> offers(List<VmPrice> prices) {
		return prices.stream()
			.filter((price) -> this.settings.capacity().zones().contains(price.zone()))
			.filter((price) -> this.capacities.containsKey(price.machineClass()))
			.map((price) -> new Offer(price.zone(), price.machineClass(), price.reclaimable(), price.perHour(),
					this.capacities.getOrDefault(price.machineClass(), 0.0)))
			.toList();
	}

}
