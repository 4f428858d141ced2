package org.banyancove.planner;

import java.util.concurrent.CompletableFuture;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.planner.ClientToken;
import org.banyancove.core.planner.CloudVm;
import org.banyancove.core.planner.EngineState;
import org.banyancove.core.planner.LeaseRecord;
import org.banyancove.core.planner.OrderResult;
import org.banyancove.core.planner.PlannerPort;
import org.banyancove.core.planner.StartResult;
import org.banyancove.core.planner.VmKind;
import org.banyancove.platform.AppendResult;
import org.banyancove.platform.CloudClient;
import org.banyancove.platform.EngineClient;
import org.banyancove.platform.StartRequest;
import org.banyancove.platform.VmState;
import org.banyancove.platform.lease.LeaseStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the core's commands to the platform and to engines without blocking. Called on
 * the planner's event loop; results are reported on other threads.
 */
final class PlannerCommands implements PlannerPort {

	private static final Logger logger = LoggerFactory.getLogger(PlannerCommands.class);

	private final DataCenterName dataCenter;

	private final ServiceName service;

	private final LeaseStream leases;

	private final CloudClient cloud;

	private final EngineClient engines;

	private final EngineAddresses addresses;

	private final PlannerCounters counters;

	private final CommandResultListener listener;

	private CompletableFuture<AppendResult> lastAppend = CompletableFuture
		.completedFuture(new AppendResult.Unanswered("nothing has been appended"));

	PlannerCommands(DataCenterName dataCenter, ServiceName service, LeaseStream leases, CloudClient cloud,
			EngineClient engines, EngineAddresses addresses, PlannerCounters counters, CommandResultListener listener) {
		this.dataCenter = dataCenter;
		this.service = service;
		this.leases = leases;
		this.cloud = cloud;
		this.engines = engines;
		this.addresses = addresses;
		this.counters = counters;
		this.listener = listener;
	}

	@Override
	public void append(LeaseRecord record) {
		this.lastAppend = this.leases.append(record).whenComplete((result, _) -> {
			this.counters.recordAppend(result);
			if (!(result instanceof AppendResult.Appended)) {
				logger.warn("Cannot confirm the append of lease record {}: {}", record, result);
			}
		});
	}

	// A shutdown waits for the latest append so that the resignation is not lost.
	CompletableFuture<AppendResult> lastAppend() {
		return this.lastAppend;
	}

	@Override
	public void list(long request) {
		this.cloud.list(ClientToken.prefix(this.dataCenter)).whenComplete((vms, failure) -> {
			this.counters.recordList(failure == null);
			if (failure == null) {
				this.listener.vmsListed(request, vms.stream().map(PlannerCommands::convert).toList());
			}
		});
	}

	@Override
	public void start(ClientToken token, VmKind kind) {
		StartRequest request = new StartRequest(token.value(), this.dataCenter, kind.zone(), kind.machineClass(),
				kind.reclaimable(), this.service);
		this.cloud.start(request).thenAccept((answer) -> {
			logger.info("Start of {} with client token {}: {}", kind, token.value(), answer);
			StartResult result = convert(answer);
			this.counters.recordStart(kind, result);
			this.listener.startAnswered(token, result);
		});
	}

	@Override
	public void stop(VmId vm) {
		this.cloud.stop(vm).whenComplete((_, failure) -> {
			logger.info("Stop of VM {}: {}", vm, (failure != null) ? failure : "accepted");
			this.counters.recordStop(failure == null);
		});
	}

	@Override
	public void order(VmId vm, long fence, EngineState state) {
		String address = this.addresses.find(vm);
		if (address == null) {
			this.listener.orderAnswered(vm, new OrderResult.Unanswered());
			return;
		}
		this.engines.order(address, fence, state).thenAccept((result) -> {
			logger.info("Order to the engine on VM {} for {} with fencing token {}: {}", vm, state, fence, result);
			this.counters.recordOrder(result);
			this.listener.orderAnswered(vm, result);
		});
	}

	@Override
	public void readBack(VmId vm) {
		String address = this.addresses.find(vm);
		if (address != null) {
			this.engines.readBack(address).thenAccept((result) -> this.listener.orderAnswered(vm, result));
		}
	}

	private static StartResult convert(org.banyancove.platform.StartResult result) {
		return switch (result) {
			case org.banyancove.platform.StartResult.Started started -> new StartResult.Started(started.vm());
			case org.banyancove.platform.StartResult.Refused refused -> new StartResult.Refused(refused.retryAfter());
			case org.banyancove.platform.StartResult.Unanswered _ -> new StartResult.Unanswered();
		};
	}

	private static CloudVm convert(org.banyancove.platform.CloudVm vm) {
		return new CloudVm(vm.id(), new ClientToken(vm.clientToken()),
				new VmKind(vm.zone(), vm.machineClass(), vm.reclaimable()), vm.state() == VmState.LEAVING);
	}

}
