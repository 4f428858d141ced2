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
import org.banyancove.gateway.endpoint.RateLimitAllotment;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RolloutTable} and {@link ServingEndpoints}.
 */
class RolloutTableTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final RolloutOrder ORDER = new RolloutOrder(SERVICE, "v2", Duration.ofSeconds(12), 7);

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final EndpointTable endpoints = new EndpointTable(
			new RateLimitAllotment("gateway", () -> List.of("gateway")));

	private final RolloutTable table = new RolloutTable();

	private final ServingEndpoints serving = new ServingEndpoints(this.endpoints, this.table);

	// Guards against requests to a version whose order has not arrived yet.
	@Test
	void aVersionThatAppearsLaterGetsNothingWithoutAnOrder() {
		list("a", "v1");
		this.serving.noteVersions(List.of(SERVICE));
		list("b", "v2");
		assertThat(versions(0)).containsOnly("v1");
	}

	@Test
	void endpointsThatAreReplacedWithTheSameVersionServe() {
		list("a", "v1");
		assertThat(versions(0)).containsOnly("v1");
		list("b", "v1");
		assertThat(this.serving.forRequest(SERVICE, false, 0, 0)).hasSize(2);
	}

	// Guards against requests to the candidate from a gateway that starts in the middle
	// of
	// a rollout and knows the order, but not how far it is.
	@Test
	void aGatewayThatStartsDuringARolloutUsesTheBaseline() {
		this.table.ordered(ORDER);
		list("a", "v1");
		list("b", "v2");
		assertThat(versions(0)).containsOnly("v1");
	}

	// Guards against a gateway that serves nothing after a restart of all, because nobody
	// has told it that the rollout was completed.
	@Test
	void aGatewayThatStartsAfterTheBaselineHasStoppedUsesTheCandidate() {
		this.table.ordered(ORDER);
		list("b", "v2");
		assertThat(versions(0)).containsOnly("v2");
	}

	@Test
	void requestsBelowTheWeightGoToTheCandidate() {
		listBoth();
		decide(1, new RolloutStage.InProgress(0.04, 1));
		assertThat(this.serving.forRequest(SERVICE, false, 0.039, 0)).allMatch(RolloutTableTests::isCandidate);
		assertThat(this.serving.forRequest(SERVICE, false, 0.041, 0)).noneMatch(RolloutTableTests::isCandidate);
		assertThat(this.serving.forRequest(SERVICE, true, 0.99, 0)).allMatch(RolloutTableTests::isCandidate);
	}

	// Guards against exposure by a gateway that is cut off and does not hear of a
	// rollback.
	@Test
	void aGatewayThatHearsNoDecisionsReturnsToTheBaseline() {
		listBoth();
		decide(1, new RolloutStage.InProgress(1, 1));
		assertThat(versionsAt(SECOND)).containsOnly("v2");
		assertThat(versionsAt(3 * SECOND)).containsOnly("v1");
	}

	// Guards against a late report of a former holder that takes a rollback back.
	@Test
	void anEndedRolloutDoesNotGoOn() {
		listBoth();
		decide(5, new RolloutStage.RolledBack());
		decide(9, new RolloutStage.InProgress(1, 1));
		assertThat(versions(0)).containsOnly("v1");
	}

	@Test
	void aCompletedRolloutLeavesTheBaselineWithoutRequests() {
		listBoth();
		decide(5, new RolloutStage.Completed());
		assertThat(versions(0)).containsOnly("v2");
		assertThat(this.serving.serving(SERVICE, 0)).allMatch(RolloutTableTests::isCandidate);
	}

	// Guards against an order that is read again once its history was dropped.
	@Test
	void anOrderThatArrivesAgainChangesNothing() {
		listBoth();
		decide(5, new RolloutStage.Completed());
		assertThat(this.table.ordered(ORDER)).isFalse();
		assertThat(versions(0)).containsOnly("v2");
	}

	// Guards against exposure to a second candidate by what was decided on the first.
	@Test
	void aLaterOrderReplacesOneThatIsInProgress() {
		listBoth();
		decide(5, new RolloutStage.InProgress(1, 1));
		list("c", "v3");
		this.table.ordered(new RolloutOrder(SERVICE, "v3", Duration.ofSeconds(12), 8));
		assertThat(versions(0)).containsOnly("v1");
		assertThat(this.table.inProgress(SERVICE)).isTrue();
	}

	@Test
	void slowAnswersAreBadByTheBaselinesTimes() {
		listBoth();
		decide(1, new RolloutStage.InProgress(0.04, 0.04));
		for (int i = 0; i < 10; i++) {
			this.table.answered(SERVICE, "chat", "v1", new AnswerTimes(1, 10));
		}
		this.table.answered(SERVICE, "chat", "v2", new AnswerTimes(2, 12));
		this.table.answered(SERVICE, "chat", "v2", new AnswerTimes(1, 60));
		this.table.answered(SERVICE, "chat", "v2", new AnswerTimes(8, 10));
		assertThat(this.table.report().byRoute(ORDER.offset(), true)).containsEntry("chat",
				new VersionSamples(0, 3, 2));
	}

	private void listBoth() {
		list("a", "v1");
		this.serving.noteVersions(List.of(SERVICE));
		list("b", "v2");
		this.table.ordered(ORDER);
	}

	private void list(String id, String version) {
		this.endpoints.put(new EndpointEntry(new EndpointId(id), SERVICE, version,
				new InetSocketAddress("10.0.0.1", 80), new DataCenterName("z"), 4, false, false, 1));
	}

	private void decide(long revision, RolloutStage stage) {
		this.table.decided(List.of(new Rollout(ORDER, "v1", Instant.EPOCH, revision, stage)), 0);
	}

	private List<String> versions(double draw) {
		return this.serving.forRequest(SERVICE, false, draw, 0).stream().map((one) -> one.entry().version()).toList();
	}

	private List<String> versionsAt(long now) {
		return this.serving.forRequest(SERVICE, false, 0, now).stream().map((one) -> one.entry().version()).toList();
	}

	private static boolean isCandidate(Endpoint endpoint) {
		return endpoint.entry().version().equals("v2");
	}

}
