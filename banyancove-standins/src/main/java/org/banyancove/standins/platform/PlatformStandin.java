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
 * In-memory platform: an append-only log, a delayed list of VMs with reclaim notices, a
 * cloud API and a weight store.
 */
public final class PlatformStandin extends AbstractStandin<PlatformFault> {

	private static final long WEIGHT_BYTES = 16_000_000_000L;

	private final InstantSource clock;

	private final LogService log;

	private final VmDirectory directory;

	private final CloudService cloud;

	private final RateLimiter weightLoadLimiter;

	private final Map<String, StandinServer<PlatformFault>> listeners = new LinkedHashMap<>();

	/**
	 * Creates the platform and binds its address.
	 * @param options the options
	 */
	public PlatformStandin(PlatformOptions options) {
		super(options.address(), PlatformFault.class);
		this.clock = options.clock();
		this.log = new LogService(options, faults());
		this.directory = new VmDirectory(options);
		this.cloud = new CloudService(options, faults(), runs(), this.directory);
		this.weightLoadLimiter = new RateLimiter(options.weightLoadsPerSecond(), options.clock());
		for (String listener : options.listeners()) {
			InetSocketAddress ephemeralAddress = new InetSocketAddress(options.address().getAddress(), 0);
			this.listeners.put(listener, createServer(ephemeralAddress, () -> isSilent(listener)));
		}
	}

	@Override
	public PlatformStandin start() {
		super.start();
		this.listeners.values().forEach(StandinServer::start);
		return this;
	}

	/**
	 * Returns the address of one of the platform's additional listeners. Each can be
	 * silenced, which partitions its clients from the platform but no others.
	 * @param listener the listener's name
	 * @return the listener's address
	 * @throws IllegalArgumentException if there is no listener of that name
	 */
	public InetSocketAddress address(String listener) {
		StandinServer<PlatformFault> server = this.listeners.get(listener);
		if (server == null) {
			throw new IllegalArgumentException("Unknown listener '" + listener + "'");
		}
		return server.address();
	}

	/**
	 * Adds or replaces a VM. The change becomes visible after the list's lag.
	 * @param vm the VM
	 */
	public void putVm(VmDescription vm) {
		this.directory.put(vm);
	}

	/**
	 * Removes a VM. The change becomes visible after the list's lag.
	 * @param id the VM's identifier
	 */
	public void removeVm(String id) {
		this.cloud.stop(id);
		this.directory.remove(id);
	}

	/**
	 * Publishes a reclaim notice. The notice is visible immediately, the VM's new state
	 * after the list's lag.
	 * @param id the VM's identifier
	 * @param at the time at which the VM is reclaimed
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
		boolean exempt = area.equals("standin") || area.equals("log");
		if (!exempt && faults().tryTrigger(PlatformFault.PLATFORM_OUTAGE)) {
			exchange.sendError(503, "The platform is down", Duration.ofSeconds(1));
			return;
		}
		switch (area) {
			case "standin" -> serveControl(exchange);
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
		Duration retryAfter = this.weightLoadLimiter.acquire();
		if (retryAfter.isPositive()) {
			exchange.sendError(429, "Too many loads of weights", retryAfter);
			return;
		}
		exchange.send(200, new Weights(exchange.segment(1), WEIGHT_BYTES));
	}

	private void serveControl(Exchange exchange) throws IOException {
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
				this.cloud.registerMachine(machine);
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
