package org.banyancove.gateway.rollout;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RolloutTable} and {@link ServingEndpoints}.
 */
class RolloutTableTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final RolloutOrder ORDER = new RolloutOrder(SERVICE, "v2", Duration.ofSeconds(12), 7);

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final RolloutTable table = new RolloutTable();

	private final ServingEndpoints serving = new ServingEndpoints(this.endpoints, this.table);

	// Guards against requests to a version whose order has not been received yet.
	@Test
	void laterVersionReceivesNoRequestsWithoutOrder() {
		list("a", "v1");
		this.serving.recordVersions(List.of(SERVICE), 0);
		list("b", "v2");
		assertThat(versions(0)).containsOnly("v1");
	}

	// Guards against endpoints that stay idle because nobody orders the rollout of their
	// version.
	@Test
	void laterVersionServesOnceAnOrderWouldBeKnown() {
		list("a", "v1");
		this.serving.recordVersions(List.of(SERVICE), 0);
		list("b", "v2");
		this.serving.recordVersions(List.of(SERVICE), 0);
		assertThat(versionsAt(2 * SECOND)).containsOnly("v1");
		assertThat(versionsAt(4 * SECOND)).containsOnly("v1", "v2");
	}

	// Guards against requests to a candidate that was rolled back, after the order of
	// another version.
	@Test
	void candidateOfAnEarlierOrderIsNotTrusted() {
		listBoth();
		decide(1, new RolloutStage.RolledBack());
		this.table.addOrder(new RolloutOrder(SERVICE, "v3", Duration.ofSeconds(12), 8));
		assertThat(versionsAt(60 * SECOND)).containsOnly("v1");
		assertThat(this.serving.ofVersion(SERVICE, "v2", 60 * SECOND)).isEmpty();
	}

	// Guards against a stream of a candidate that goes on there after the rollback, or
	// while this gateway cannot know of it.
	@Test
	void streamOfACandidateGoesOnThereUntilTheRollback() {
		listBoth();
		assertThat(this.serving.ofVersion(SERVICE, "v2", 0)).isEmpty();
		decide(1, new RolloutStage.InProgress(0.1, 0.1));
		assertThat(this.serving.ofVersion(SERVICE, "v2", 0)).hasSize(1);
		assertThat(this.serving.ofVersion(SERVICE, "v2", 5 * SECOND)).isEmpty();
		decide(2, new RolloutStage.RolledBack());
		assertThat(this.serving.ofVersion(SERVICE, "v2", 0)).isEmpty();
		assertThat(this.serving.ofVersion(SERVICE, "v1", 0)).hasSize(1);
		assertThat(this.serving.ofVersion(SERVICE, "", 0)).isEmpty();
	}

	@Test
	void additionalEndpointOfSameVersionServes() {
		list("a", "v1");
		assertThat(versions(0)).containsOnly("v1");
		list("b", "v1");
		assertThat(this.serving.forRequest(SERVICE, false, 0, 0)).hasSize(2);
	}

	// Guards against requests to the candidate from a gateway that starts during a
	// rollout and knows the order, but not the stage.
	@Test
	void gatewayStartedDuringRolloutUsesBaseline() {
		this.table.addOrder(ORDER);
		list("a", "v1");
		list("b", "v2");
		assertThat(versions(0)).containsOnly("v1");
	}

	// Guards against a gateway that rejects all requests after a restart of the entire
	// fleet, because it did not receive the completion of the rollout.
	@Test
	void gatewayStartedAfterBaselineStoppedUsesCandidate() {
		this.table.addOrder(ORDER);
		list("b", "v2");
		assertThat(versions(0)).containsOnly("v2");
	}

	@Test
	void requestsBelowWeightGoToCandidate() {
		listBoth();
		decide(1, new RolloutStage.InProgress(0.04, 1));
		assertThat(this.serving.forRequest(SERVICE, false, 0.039, 0)).allMatch(RolloutTableTests::isCandidate);
		assertThat(this.serving.forRequest(SERVICE, false, 0.041, 0)).noneMatch(RolloutTableTests::isCandidate);
		assertThat(this.serving.forRequest(SERVICE, true, 0.99, 0)).allMatch(RolloutTableTests::isCandidate);
	}

	// Guards against exposure by a partitioned gateway that does not receive a
	// rollback.
	@Test
	void gatewayWithoutRecentDecisionReturnsToBaseline() {
		listBoth();
		decide(1, new RolloutStage.InProgress(1, 1));
		assertThat(versionsAt(SECOND)).containsOnly("v2");
		assertThat(versionsAt(3 * SECOND)).containsOnly("v1");
	}

	// Guards against a delayed report of a previous lease holder that reverts a
	// rollback.
	@Test
	void endedRolloutDoesNotResume() {
		listBoth();
		decide(5, new RolloutStage.RolledBack());
		decide(9, new RolloutStage.InProgress(1, 1));
		assertThat(versions(0)).containsOnly("v1");
	}

	@Test
	void baselineReceivesNoRequestsAfterCompletion() {
		listBoth();
		decide(5, new RolloutStage.Completed());
		assertThat(versions(0)).containsOnly("v2");
		assertThat(this.serving.stableEndpoints(SERVICE, 0)).allMatch(RolloutTableTests::isCandidate);
	}

	// Guards against repeating an order that is read again after its history was
	// discarded.
	@Test
	void repeatedOrderIsIgnored() {
		listBoth();
		decide(5, new RolloutStage.Completed());
		assertThat(this.table.addOrder(ORDER)).isFalse();
		assertThat(versions(0)).containsOnly("v2");
	}

	// Guards against exposure to a second candidate by the decision on the first one.
	@Test
	void laterOrderSupersedesRolloutInProgress() {
		listBoth();
		decide(5, new RolloutStage.InProgress(1, 1));
		list("c", "v3");
		this.table.addOrder(new RolloutOrder(SERVICE, "v3", Duration.ofSeconds(12), 8));
		assertThat(versions(0)).containsOnly("v1");
		assertThat(this.table.inProgress(SERVICE)).isTrue();
	}

	@Test
	void slowAnswersComparedWithBaselineAreBad() {
		listBoth();
		decide(1, new RolloutStage.InProgress(0.04, 0.04));
		for (int i = 0; i < 10; i++) {
			this.table.recordAnswered(SERVICE, "chat", "v1", new AnswerTimes(1, 10));
		}
		this.table.recordAnswered(SERVICE, "chat", "v2", new AnswerTimes(2, 12));
		this.table.recordAnswered(SERVICE, "chat", "v2", new AnswerTimes(1, 60));
		this.table.recordAnswered(SERVICE, "chat", "v2", new AnswerTimes(8, 10));
		assertThat(this.table.report().samplesByRoute(ORDER.offset(), true)).containsEntry("chat",
				new VersionSamples(0, 3, 2));
	}

	private void listBoth() {
		list("a", "v1");
		this.serving.recordVersions(List.of(SERVICE), 0);
		list("b", "v2");
		this.table.addOrder(ORDER);
	}

	private void list(String id, String version) {
		this.endpoints.put(new EndpointEntry(new EndpointId(id), SERVICE, version,
				new InetSocketAddress("10.0.0.1", 80), new DataCenterName("z"), 4, false, false, 1));
	}

	private void decide(long revision, RolloutStage stage) {
		this.table.applyDecisions(List.of(new Rollout(ORDER, "v1", Instant.EPOCH, revision, stage)), 0);
	}

	private List<String> versions(double randomValue) {
		return this.serving.forRequest(SERVICE, false, randomValue, 0)
			.stream()
			.map((endpoint) -> endpoint.entry().version())
			.toList();
	}

	private List<String> versionsAt(long now) {
		return this.serving.forRequest(SERVICE, false, 0, now)
			.stream()
			.map((endpoint) -> endpoint.entry().version())
			.toList();
	}

	private static boolean isCandidate(Endpoint endpoint) {
		return endpoint.entry().version().equals("v2");
	}

}
