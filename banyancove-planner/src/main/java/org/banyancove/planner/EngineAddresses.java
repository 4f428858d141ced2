package org.banyancove.planner;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.banyancove.core.VmId;
import org.banyancove.platform.ListedVm;
import org.banyancove.platform.VmList;
import org.banyancove.platform.VmListClient;
import org.banyancove.platform.VmRole;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resolves the addresses of engines from the platform's VM list, which may be stale.
 * Thread-safe.
 * <p>
 * An engine that is not listed yet has no address, so its orders are retried as for an
 * engine that does not respond.
 */
final class EngineAddresses {

	private static final Logger logger = LoggerFactory.getLogger(EngineAddresses.class);

	private final VmListClient vmListClient;

	private volatile Map<VmId, String> addresses = Map.of();

	EngineAddresses(VmListClient vmListClient) {
		this.vmListClient = vmListClient;
	}

	void start(Duration interval, ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::refresh, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Nullable String find(VmId vm) {
		return this.addresses.get(vm);
	}

	private void refresh() {
		this.vmListClient.read().whenComplete((vms, failure) -> {
			if (failure != null) {
				logger.debug("Cannot read the VM list", failure);
				return;
			}
			this.addresses = addresses(vms);
		});
	}

	private static Map<VmId, String> addresses(VmList vms) {
		return vms.vms()
			.stream()
			.filter((vm) -> vm.role() == VmRole.ENGINE && vm.address() != null)
			.collect(Collectors.toMap(ListedVm::id, (vm) -> String.valueOf(vm.address()), (first, second) -> second));
	}

}
