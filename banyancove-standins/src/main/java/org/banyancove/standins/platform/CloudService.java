package org.banyancove.standins.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.banyancove.standins.support.ConnectionDropException;
import org.banyancove.standins.support.Exchange;
import org.banyancove.standins.support.FaultSwitches;
import org.banyancove.standins.support.RunCounter;
import org.jspecify.annotations.Nullable;

/**
 * The cloud API: prices, and VMs that are started idempotently by client token. A started
 * VM is only recorded, unless a free machine of its zone and class was registered. It is
 * then listed as an engine VM with the machine's address. This class is thread-safe.
 */
final class CloudService {

	private static final Duration START_RETRY_AFTER = Duration.ofSeconds(30);

	private final PlatformOptions options;

	private final FaultSwitches<PlatformFault> faults;

	private final RunCounter startCounter;

	private final VmDirectory directory;

	private final Map<String, CloudVm> vmsByToken = new LinkedHashMap<>();

	private final List<Machine> freeMachines = new ArrayList<>();

	private final Map<String, Machine> machinesByVm = new HashMap<>();

	private long startedVms;

	CloudService(PlatformOptions options, FaultSwitches<PlatformFault> faults, RunCounter startCounter,
			VmDirectory directory) {
		this.directory = directory;
		this.options = options;
		this.faults = faults;
		this.startCounter = startCounter;
	}

	void serve(Exchange exchange) throws IOException {
		switch (exchange.route()) {
			case "GET /cloud/prices" -> exchange.send(200, new PriceList(this.options.prices()));
			case "GET /cloud/vms" -> exchange.send(200, list(exchange.query("tokenPrefix", "")));
			case "POST /cloud/vms" -> start(exchange);
			default -> {
				if (!exchange.route().startsWith("DELETE /cloud/vms/")) {
					exchange.sendError(404, "Unknown call " + exchange.route());
					return;
				}
				stop(exchange.segment(2));
				dropResponseIfTriggered();
				exchange.send(204, "application/json", new byte[0]);
			}
		}
	}

	/**
	 * Registers a machine, which runs one VM at a time.
	 * @param machine the machine
	 */
	synchronized void registerMachine(Machine machine) {
		this.freeMachines.add(machine);
	}

	/**
	 * Stops a VM if it is running, and releases its machine.
	 * @param id the VM's identifier
	 */
	synchronized void stop(String id) {
		this.vmsByToken.values().removeIf((vm) -> vm.id().equals(id));
		Machine machine = this.machinesByVm.remove(id);
		if (machine != null) {
			this.directory.remove(id);
			this.freeMachines.add(machine);
		}
	}

	private void start(Exchange exchange) throws IOException {
		StartRequest request = exchange.json(StartRequest.class);
		if (isStartRefused(request.zone())) {
			exchange.sendError(503, "No " + request.machineClass() + " to be had in " + request.zone(),
					START_RETRY_AFTER);
			return;
		}
		CloudVm vm = startIfAbsent(request);
		dropResponseIfTriggered();
		exchange.send(200, new StartAnswer(vm.id()));
	}

	private synchronized CloudVm startIfAbsent(StartRequest request) {
		CloudVm existing = this.vmsByToken.get(request.clientToken());
		if (existing != null) {
			return existing;
		}
		this.startedVms++;
		this.startCounter.count(request.clientToken(), new byte[0]);
		CloudVm vm = new CloudVm("cloud-" + this.startedVms, request.clientToken(), request.dataCenter(),
				request.zone(), request.machineClass(), request.reclaimable(), request.service(), VmState.LIVE,
				this.options.clock().instant().toString());
		this.vmsByToken.put(request.clientToken(), vm);
		assignMachine(vm);
		return vm;
	}

	private void assignMachine(CloudVm vm) {
		Machine machine = this.freeMachines.stream()
			.filter((free) -> free.zone().equals(vm.zone()) && free.machineClass().equals(vm.machineClass()))
			.findFirst()
			.orElse(null);
		if (machine != null) {
			this.freeMachines.remove(machine);
			this.machinesByVm.put(vm.id(), machine);
			this.directory.put(new VmDescription(vm.id(), vm.dataCenter(), vm.zone(), vm.machineClass(), "engine",
					vm.service(), machine.address(), VmState.LIVE, null));
		}
	}

	private synchronized CloudVmList list(String tokenPrefix) {
		return new CloudVmList(this.vmsByToken.values()
			.stream()
			.filter((vm) -> vm.clientToken().startsWith(tokenPrefix))
			.map((vm) -> this.directory.isLeaving(vm.id()) ? vm.leaving() : vm)
			.toList());
	}

	private boolean isStartRefused(String zone) {
		List<String> zones = Arrays.asList(this.faults.text(PlatformFault.REFUSE_STARTS_IN).split(","));
		return zones.contains("all") || zones.contains(zone);
	}

	private void dropResponseIfTriggered() throws ConnectionDropException {
		if (this.faults.tryTrigger(PlatformFault.LOSE_CLOUD_ANSWERS)) {
			throw new ConnectionDropException("Fault LOSE_CLOUD_ANSWERS: connection closed before the response");
		}
	}

	/**
	 * A machine on which a VM can be started.
	 *
	 * @param zone the zone
	 * @param machineClass the machine class
	 * @param address the address that the engine listens on
	 */
	record Machine(String zone, String machineClass, String address) {
	}

	private record StartRequest(String clientToken, String dataCenter, String zone, String machineClass,
			boolean reclaimable, @Nullable String service) {
	}

	private record StartAnswer(String id) {
	}

	private record CloudVm(String id, String clientToken, String dataCenter, String zone, String machineClass,
			boolean reclaimable, @Nullable String service, VmState state, String startedAt) {

		CloudVm leaving() {
			return new CloudVm(this.id, this.clientToken, this.dataCenter, this.zone, this.machineClass,
					this.reclaimable, this.service, VmState.LEAVING, this.startedAt);
		}

	}

	private record CloudVmList(List<CloudVm> vms) {
	}

	private record PriceList(List<Price> prices) {
	}

}
