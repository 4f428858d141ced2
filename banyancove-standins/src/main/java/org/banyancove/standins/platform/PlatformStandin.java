package org.banyancove.standins.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

import org.banyancove.standins.support.AbstractStandin;
import org.banyancove.standins.support.Exchange;
import org.banyancove.standins.support.RateLimiter;
import org.banyancove.standins.support.StandinServer;

/**
 * The platform: an append-only log, a lagging list of VMs with reclaim notices, a cloud
 * API and a weight store, all in memory.
 */
public final class PlatformStandin extends AbstractStandin<PlatformFault> {

	private static final long WEIGHT_BYTES = 16_000_000_000L;

	private final InstantSource clock;

	private final LogService log;

	private final VmDirectory directory;

	private final CloudService cloud;

	private final RateLimiter weightLoads;

	private final Map<String, StandinServer<PlatformFault>> listeners = new LinkedHashMap<>();

	/**
	 * Creates the platform and binds its address.
	 * @param options its options
	 */
	public PlatformStandin(PlatformOptions options) {
		super(options.address(), PlatformFault.class);
		this.clock = options.clock();
		this.log = new LogService(options, faults());
		this.directory = new VmDirectory(options);
		this.cloud = new CloudService(options, faults(), runs(), this.directory);
		this.weightLoads = new RateLimiter(options.weightLoadsPerSecond(), options.clock());
		for (String listener : options.listeners()) {
			InetSocketAddress anyPort = new InetSocketAddress(options.address().getAddress(), 0);
			this.listeners.put(listener, createServer(anyPort, () -> isSilent(listener)));
		}
	}

	@Override
	public PlatformStandin start() {
		super.start();
		this.listeners.values().forEach(StandinServer::start);
		return this;
	}

	/**
	 * Returns the address of one of the platform's further listeners. Each can be
	 * silenced, so that those who use it are cut off while others are not.
	 * @param listener the listener's name
	 * @return its address
	 * @throws IllegalArgumentException if there is none of that name
	 */
	public InetSocketAddress address(String listener) {
		StandinServer<PlatformFault> server = this.listeners.get(listener);
		if (server == null) {
			throw new IllegalArgumentException("Unknown listener '" + listener + "'");
		}
		return server.address();
	}

	/**
	 * Adds a VM to the list, or changes it; seen after the list's lag.
	 * @param vm the VM
	 */
	public void putVm(VmDescription vm) {
		this.directory.put(vm);
	}

	/**
	 * Takes a VM off the list; seen after the list's lag.
	 * @param id the VM's identifier
	 */
	public void removeVm(String id) {
		this.cloud.end(id);
		this.directory.remove(id);
	}

	/**
	 * Gives a VM its reclaim notice. The notice is seen at once, the list lags.
	 * @param id the VM's identifier
	 * @param at when it goes
	 */
	public void announceReclaim(String id, Instant at) {
		this.directory.announceReclaim(id, at);
	}

	@Override
	public void close() {
		this.listeners.values().forEach(StandinServer::close);
		super.close();
	}

	@Override
	protected void serve(Exchange exchange) throws IOException, InterruptedException {
		String area = exchange.segment(0);
		boolean spared = area.equals("standin") || area.equals("log");
		if (!spared && faults().tryTrigger(PlatformFault.PLATFORM_OUTAGE)) {
			exchange.sendError(503, "The platform is down", Duration.ofSeconds(1));
			return;
		}
		switch (area) {
			case "standin" -> serveTest(exchange);
			case "log" -> this.log.serve(exchange);
			case "vms" -> exchange.send(200, this.directory.list());
			case "notices" -> exchange.send(200, this.directory.noticesAfter(exchange.query("after", 0),
					Duration.ofMillis(exchange.query("waitMillis", 0))));
			case "cloud" -> this.cloud.serve(exchange);
			case "weights" -> loadWeights(exchange);
			default -> exchange.sendError(404, "Unknown call " + exchange.route());
		}
	}

	private boolean isSilent(String listener) {
		return Arrays.asList(faults().text(PlatformFault.SILENT_LISTENERS).split(",")).contains(listener);
	}

	private void loadWeights(Exchange exchange) throws IOException {
		Duration retryAfter = this.weightLoads.acquire();
		if (retryAfter.isPositive()) {
			exchange.sendError(429, "Too many loads of weights", retryAfter);
			return;
		}
		exchange.send(200, new Weights(exchange.segment(1), WEIGHT_BYTES));
	}

	private void serveTest(Exchange exchange) throws IOException {
		if (exchange.route().startsWith("DELETE /standin/vms/")) {
			removeVm(exchange.segment(2));
			exchange.send(204, "application/json", new byte[0]);
			return;
		}
		switch (exchange.route()) {
			case "POST /standin/notices" -> {
				NoticeRequest request = exchange.json(NoticeRequest.class);
				announceReclaim(request.vm(), this.clock.instant().plusMillis(request.inMillis()));
				exchange.send(200, request);
			}
			case "POST /standin/vms" -> {
				VmDescription vm = exchange.json(VmDescription.class);
				putVm(vm);
				exchange.send(200, vm);
			}
			case "POST /standin/machines" -> {
				CloudService.Machine machine = exchange.json(CloudService.Machine.class);
				this.cloud.add(machine);
				exchange.send(200, machine);
			}
			default -> exchange.sendError(404, "Unknown call " + exchange.route());
		}
	}

	private record Weights(String model, long bytes) {
	}

	private record NoticeRequest(String vm, long inMillis) {
	}

}
