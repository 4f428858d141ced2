package org.banyancove.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.PlacementDecision;
import org.banyancove.core.routing.PlacementRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionSystemTests {

	private static final ServiceName SERVICE = new ServiceName("planning");

	private static final Profile PROFILE = new Profile(new ProfileName("plans"), Duration.ofSeconds(1),
			Duration.ofMillis(41), Duration.ofSeconds(10), 0.95, 1, PlacementPolicyName.COST_AT_TARGET, 0.1, 0.5, false,
			1 << 20);

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private final EndpointTable table = new EndpointTable();

	private final AdmissionSystem system = new AdmissionSystem(this.table, (InstantSource) () -> this.now);

	// Guards against starvation of a small account: a large account fills the endpoints
	// and the queue before the small one sends a request. The next released slot goes to
	// the small account, since the large one exceeds its share while another account is
	// waiting.
	@Test
	void largeAccountDoesNotStarveSmallAccount() {
		endpoints(2);
		for (int i = 0; i < 40; i++) {
			offer("large-" + i, "large");
		}
		assertThat(this.system.runningCount(SERVICE)).isEqualTo(4);
		assertThat(offer("small-1", "small")).isInstanceOf(AdmissionDecision.Waiting.class);
		assertThat(release("large-0")).containsExactly("small-1");
		assertThat(release("large-1")).containsExactly("large-4");
	}

	@Test
	void waitingAccountsAreServedInTurn() {
		endpoints(1);
		for (int i = 0; i < 8; i++) {
			offer("a-" + i, "a");
			offer("b-" + i, "b");
		}
		List<String> order = new ArrayList<>(List.of("a-0", "b-0"));
		for (int i = 0; i < 6; i++) {
			order.addAll(release(order.get(i)));
		}
		assertThat(order).containsExactly("a-0", "b-0", "a-1", "b-1", "a-2", "b-2", "a-3", "b-3");
	}

	// Guards against requests that wait until their deadline only to be refused: callers
	// send more than the endpoints can serve. Excess requests are refused immediately
	// with a retry delay that grows with the backlog.
	@Test
	void requestWithTooLongWaitIsRefusedWithRetryDelay() {
		endpoints(1);
		offer("first-0", "a");
		offer("first-1", "a");
		this.now = this.now.plusSeconds(2);
		release("first-0");
		release("first-1");
		List<AdmissionDecision> decisions = new ArrayList<>();
		for (int i = 0; i < 30; i++) {
			decisions.add(offer("r-" + i, "a"));
		}
		assertThat(this.system.waitingCount(SERVICE)).isEqualTo(8);
		AdmissionDecision.Refused refused = (AdmissionDecision.Refused) decisions.get(10);
		assertThat(refused.kind()).isEqualTo(ErrorKind.OVERLOADED);
		assertThat(refused.retryAfter()).isEqualTo(Duration.ofSeconds(1));
		this.now = this.now.plusSeconds(3);
		AdmissionDecision.Refused sustained = (AdmissionDecision.Refused) offer("lasting", "a");
		assertThat(sustained.retryAfter()).isEqualTo(Duration.ofMillis(8500));
	}

	// Guards against a queue in which every answer is late: callers send bursts of a few
	// seconds. Once the limit is known from a late answer, a burst may wait only as long
	// as the target allows. A wait up to the deadline would make every answer late, and
	// the next burst would refill the queue once it is empty.
	@Test
	void burstWaitsWithinTheTargetOnceTheLimitIsKnown() {
		endpoints(1);
		offer("first-0", "a");
		offer("first-1", "a");
		this.now = this.now.plusMillis(600);
		release("first-0");
		release("first-1");
		assertThat(this.table.isCapacityKnown(SERVICE)).isFalse();
		assertThat(waitingCountOfBurst("unknown")).isGreaterThan(10);
		this.table.attemptStarted(new PlacementDecision.Placed(new EndpointId("e0"), Duration.ZERO, Duration.ZERO, 1),
				new PlacementRequest(new RequestId("late"), new AccountName("a"), SERVICE, PROFILE, List.of(), 1, 1,
						Set.of(), this.now, Optional.empty()),
				this.now);
		this.now = this.now.plusMillis(700);
		this.table.firstTokenReceived(new EndpointId("e0"), new RequestId("late"), this.now);
		this.table.attemptEnded(new EndpointId("e0"), new RequestId("late"), AttemptOutcome.COMPLETED, this.now);
		assertThat(this.table.isCapacityKnown(SERVICE)).isTrue();
		assertThat(waitingCountOfBurst("known")).isLessThan(3);
	}

	@Test
	void requestIsRefusedAtItsDeadline() {
		endpoints(1);
		for (int i = 0; i < 3; i++) {
			offer("r-" + i, "a");
		}
		this.now = this.now.plusSeconds(10);
		assertThat(this.system.tick()).singleElement().isInstanceOf(AdmissionDecision.Refused.class);
		assertThat(this.system.waitingCount(SERVICE)).isZero();
	}

	@Test
	void requestWithoutEndpointIsRefusedImmediately() {
		AdmissionDecision.Refused refused = (AdmissionDecision.Refused) offer("r", "a");
		assertThat(refused.kind()).isEqualTo(ErrorKind.NO_ENDPOINT);
		assertThat(refused.retryAfter()).isPositive();
	}

	// Offers thirty concurrent requests, then cancels and releases them.
	private int waitingCountOfBurst(String name) {
		for (int i = 0; i < 30; i++) {
			offer(name + i, "a");
		}
		int waiting = this.system.waitingCount(SERVICE);
		for (int i = 0; i < 30; i++) {
			this.system.cancelled(SERVICE, new RequestId(name + i));
		}
		for (int i = 0; i < 30; i++) {
			this.system.released(SERVICE, new RequestId(name + i));
		}
		return waiting;
	}

	private AdmissionDecision offer(String request, String account) {
		return this.system.offer(new AdmissionRequest(new RequestId(request), new AccountName(account), SERVICE,
				PROFILE, this.now, 1, 1));
	}

	private List<String> release(String request) {
		return this.system.released(SERVICE, new RequestId(request))
			.stream()
			.map((decision) -> decision.request().value())
			.toList();
	}

	private void endpoints(int count) {
		for (int i = 0; i < count; i++) {
			this.table.put(
					new EndpointDefinition(new EndpointId("e" + i), new VmId("vm" + i), new DataCenterName("mahebourg"),
							new ZoneName("a"), new MachineClass("m"), SERVICE, "127.0.0.1:1", 1),
					this.now);
		}
	}

}
