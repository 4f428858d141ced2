package org.banyancove.core.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.ledger.RecordId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannerSystemTests implements PlannerPort {

	private static final DataCenterName NORTH = new DataCenterName("north1");

	private static final Offer ON_DEMAND = new Offer(new ZoneName("zone-1"), new MachineClass("small"), false, 3, 1);

	private static final EngineState DESIRED_STATE = new EngineState(Set.of("new-model"), Set.of(), "serve");

	private static final EngineState OLD_STATE = new EngineState(Set.of("old-model"), Set.of(), "serve");

	private static final CloudVm VM = new CloudVm(new VmId("vm"), new ClientToken("north1-0-0"), ON_DEMAND.kind(),
			false);

	private final List<LeaseRecord> appended = new ArrayList<>();

	private final List<ClientToken> started = new ArrayList<>();

	private final List<Long> lists = new ArrayList<>();

	private final List<EngineState> ordered = new ArrayList<>();

	private int readBacks;

	private Instant now = Instant.EPOCH;

	private final PlannerSystem system = new PlannerSystem(new Incarnation(new VmId("entry"), 1), NORTH, () -> this.now,
			new SplittableRandom(1), PlannerSettings.defaults(), this);

	PlannerSystemTests() {
		this.system.setDesiredState(1, DESIRED_STATE);
		this.system.setOffers(List.of(ON_DEMAND));
		tickAfter(Duration.ZERO);
		this.system.applyLeaseRecord(0, this.appended.getFirst(), this.now);
	}

	// The cloud starts a VM and its answer is lost. The planner retries with the same
	// token, so that the operator pays for one VM.
	@Test
	void unansweredStartIsRetriedWithSameToken() {
		tickAfter(Duration.ZERO);
		this.system.applyList(this.lists.getLast(), List.of());
		tickAfter(Duration.ZERO);
		this.system.startAnswered(this.started.getFirst(), new StartResult.Unanswered());
		tickAfter(PlannerSettings.defaults().callTimeout());
		assertThat(this.started).hasSize(2);
		assertThat(Set.copyOf(this.started)).hasSize(1);
	}

	// A planner acquires the lease. The VMs started by its predecessor are visible
	// only in a list requested under its own lease; acting earlier would start them
	// again.
	@Test
	void noStartBeforeListUnderOwnLease() {
		tickAfter(Duration.ZERO);
		tickAfter(Duration.ofMillis(10));
		assertThat(this.started).isEmpty();
		this.system.applyList(this.lists.getLast(), List.of(VM));
		tickAfter(Duration.ofMillis(10));
		assertThat(this.started).isEmpty();
	}

	// A planner loses its lease and acquires it again. Its old list does not contain the
	// VMs started by the holder in between, so a change of the target must wait for a
	// new list.
	@Test
	void noStartBasedOnListOfEarlierLease() {
		tickAfter(Duration.ZERO);
		this.system.applyList(this.lists.getLast(), List.of());
		tickAfter(Duration.ZERO);
		assertThat(this.started).hasSize(1);
		Duration lease = PlannerSettings.defaults().lease();
		Incarnation other = new Incarnation(new VmId("other"), 2);
		this.system.applyLeaseRecord(1, new LeaseRecord.Renewed(new RecordId("r"), NORTH, other, 1, lease), this.now);
		tickAfter(lease);
		this.system.applyLeaseRecord(2, this.appended.getLast(), this.now);
		this.system.setDesiredState(2, DESIRED_STATE);
		tickAfter(Duration.ofMillis(10));
		assertThat(this.system.fence()).hasValue(2);
		assertThat(this.started).hasSize(1);
	}

	// A former holder, paused before sending an order, sends it after the new holder's
	// order. The engine ignores fencing numbers and loads the old model. The planner,
	// which also reads back engines that matched, orders the desired state again.
	@Test
	void engineChangedByFormerHolderIsOrderedAgain() {
		tickAfter(Duration.ZERO);
		this.system.applyList(this.lists.getLast(), List.of(VM));
		tickAfter(Duration.ZERO);
		this.system.orderAnswered(VM.id(), new OrderResult.ReadBack(DESIRED_STATE));
		int before = this.readBacks;
		tickAfter(PlannerSettings.defaults().orderInterval());
		assertThat(this.readBacks).isGreaterThan(before);
		assertThat(this.ordered).isEmpty();
		this.system.orderAnswered(VM.id(), new OrderResult.ReadBack(OLD_STATE));
		tickAfter(PlannerSettings.defaults().orderInterval());
		assertThat(this.ordered).containsExactly(DESIRED_STATE);
	}

	// The holder is paused, or the log is unavailable, for longer than its lease. It must
	// stop acting by its own clock, without having read that another process acquired
	// the lease.
	@Test
	void holderThatCouldNotRenewDoesNotAct() {
		tickAfter(PlannerSettings.defaults().lease());
		assertThat(this.system.fence()).isEmpty();
		assertThat(this.lists).isEmpty();
	}

	@Override
	public void append(LeaseRecord record) {
		this.appended.add(record);
	}

	@Override
	public void list(long request) {
		this.lists.add(request);
	}

	@Override
	public void start(ClientToken token, VmKind kind) {
		this.started.add(token);
	}

	@Override
	public void stop(VmId vm) {
		throw new AssertionError("No VM may be stopped: " + vm);
	}

	@Override
	public void order(VmId vm, long fence, EngineState state) {
		this.ordered.add(state);
	}

	@Override
	public void readBack(VmId vm) {
		this.readBacks++;
	}

	private void tickAfter(Duration time) {
		this.now = this.now.plus(time);
		this.system.tick();
	}

}
