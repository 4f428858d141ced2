package org.banyancove.gateway.quarantine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.suspect.Fingerprint;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.EndpointEntry;
import org.banyancove.gateway.endpoint.EndpointTable;
import org.banyancove.gateway.endpoint.FleetAllocation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestQuarantineTests {

	private static final Fingerprint REQUEST = new Fingerprint(1, 1);

	private static final SuspectKeys KEYS = new SuspectKeys(REQUEST, List.of());

	private final EndpointTable endpoints = new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway")));

	private final RequestQuarantine quarantine = new RequestQuarantine(this.endpoints);

	// Guards against a request that crashes each endpoint it is sent to.
	@Test
	void quarantinesARequestThatCrashedThreeEndpointsInSuccession() {
		crash("a", 0, 100);
		crash("b", 101, 200);
		assertThat(remaining(201)).isZero();
		crash("c", 300, 400);
		assertThat(remaining(400)).isEqualTo(Duration.ofMinutes(1));
		assertThat(this.quarantine.quarantined(millis(400))).containsOnlyKeys(REQUEST);
	}

	// Guards against the rejection of a popular request that several endpoints had when
	// their data center was lost.
	@Test
	void endpointsThatEndTogetherCountOnce() {
		for (String endpoint : List.of("a", "b", "c", "d", "e")) {
			crash(endpoint, 0, 100);
		}
		assertThat(remaining(100)).isZero();
	}

	// Guards against the rejection of a request whose endpoints end in succession for
	// other causes.
	@Test
	void aCompletedResponseClearsTheRequest() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		this.quarantine.recordCompletion(KEYS, millis(350), millis(350));
		crash("c", 400, 500);
		assertThat(remaining(500)).isZero();
	}

	// Guards against the rejection of a request that other gateways complete.
	@Test
	void aResponseCompletedAtAnotherGatewayClearsTheRequest() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		this.quarantine.merge(Map.of(REQUEST, new SuspectReport(List.of(), Duration.ofMillis(10))), millis(600));
		assertThat(remaining(600)).isZero();
	}

	// Guards against the rejection of a popular request before the responses that other
	// gateways completed are known.
	@Test
	void aRequestThatWasCompletedRecentlyIsRejectedLater() {
		this.quarantine.recordCompletion(KEYS, millis(0), millis(0));
		crash("a", 50, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		assertThat(remaining(2490)).isZero();
		assertThat(remaining(2500)).isPositive();
	}

	// Guards against the rejection of requests whose connections were reset by the
	// network.
	@Test
	void anEndpointThatAnswersLaterRequestsHasNotCrashed() {
		Endpoint endpoint = endpoint("a", 1);
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		endpoint.processLife().answered(millis(0), millis(90));
		assertThat(remaining(600)).isPositive();
		endpoint.processLife().answered(millis(0), millis(550));
		assertThat(remaining(600)).isZero();
	}

	// Guards against the rejection of requests whose connections were reset by the
	// network
	// at endpoints that were later replaced.
	@Test
	void anEndpointThatAnsweredLaterRequestsAndWasRemovedHasNotCrashed() {
		Endpoint endpoint = endpoint("a", 1);
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		endpoint.processLife().answered(millis(0), millis(550));
		this.endpoints.remove(endpoint.id(), millis(580));
		assertThat(remaining(600)).isZero();
	}

	// Guards against an endpoint that counts as alive because it was started again under
	// its identifier.
	@Test
	void answersOfANewIncarnationDoNotShowThatTheFormerOneSurvived() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		endpoint("a", 1).processLife().answered(millis(0), millis(550));
		endpoint("a", 2);
		assertThat(remaining(600)).isPositive();
	}

	// Guards against many gateways that all try a suspect at once, because each knows
	// only
	// itself while the list of gateways can't be read.
	@Test
	void aGatewayThatDoesNotKnowTheOthersTriesNothing() {
		RequestQuarantine alone = new RequestQuarantine(
				new EndpointTable(new FleetAllocation("gateway", () -> List.of("gateway"), () -> false)));
		alone.recordLoss(KEYS, false, new EndpointId("a"), millis(0), millis(100));
		alone.recordLoss(KEYS, false, new EndpointId("b"), millis(200), millis(300));
		alone.recordLoss(KEYS, false, new EndpointId("c"), millis(400), millis(500));
		assertThat(alone.remaining(KEYS, millis(61_000))).isPositive();
	}

	// Guards against an endpoint that counts as alive because it answers under its
	// identifier before its new entry is read.
	@Test
	void answersOnALaterConnectionDoNotShowThatTheProcessSurvived() {
		Endpoint endpoint = endpoint("a", 1);
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		endpoint.processLife().answered(millis(400), millis(550));
		assertThat(remaining(600)).isPositive();
	}

	// Guards against a request that crashes three endpoints after each quarantine.
	@Test
	void oneCrashAfterTheQuarantineRenewsIt() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		assertThat(remaining(61_000)).isZero();
		crash("d", 61_000, 61_100);
		assertThat(remaining(61_100)).isEqualTo(Duration.ofMinutes(1));
	}

	// Guards against a gateway that sends the request because it was restarted.
	@Test
	void aRestartedGatewayLearnsOfTheQuarantineLongAfterTheCrashes() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		RequestQuarantine restarted = new RequestQuarantine(this.endpoints);
		restarted.merge(this.quarantine.ownReports(millis(40_000)), millis(40_000));
		assertThat(restarted.remaining(KEYS, millis(40_000))).isEqualTo(remaining(40_000)).isPositive();
	}

	// Guards against a quarantine that gateways extend by repeating each other's reports.
	@Test
	void repeatedReportsDoNotExtendTheQuarantine() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		RequestQuarantine other = new RequestQuarantine(this.endpoints);
		for (int at = 500; at < 60_500; at += 250) {
			other.merge(this.quarantine.ownReports(millis(at)), millis(at + 40));
			this.quarantine.merge(other.ownReports(millis(at + 40)), millis(at + 80));
		}
		assertThat(remaining(60_500)).isZero();
		assertThat(other.remaining(KEYS, millis(60_541))).isZero();
	}

	// Guards against memory that grows with the requests that were lost.
	@Test
	void suspectsAreBoundedInNumberAndAge() {
		crash("a", 0, 100);
		crash("b", 200, 300);
		crash("c", 400, 500);
		for (int i = 0; i < 5000; i++) {
			this.quarantine.recordLoss(new SuspectKeys(new Fingerprint(2, i), List.of()), false,
					new EndpointId("e" + i), millis(600), millis(700));
		}
		assertThat(this.quarantine.ownReports(millis(700))).hasSize(24).containsKey(REQUEST);
		assertThat(remaining(700)).isPositive();
		this.quarantine.expire(millis(62_000));
		assertThat(this.quarantine.ownReports(millis(62_000))).containsOnlyKeys(REQUEST);
		this.quarantine.expire(millis(302_000));
		assertThat(this.quarantine.isEmpty()).isTrue();
	}

	private void crash(String endpoint, long sentAtMillis, long lostAtMillis) {
		this.quarantine.recordLoss(KEYS, false, new EndpointId(endpoint), millis(sentAtMillis), millis(lostAtMillis));
	}

	private Duration remaining(long atMillis) {
		return this.quarantine.remaining(KEYS, millis(atMillis));
	}

	private Endpoint endpoint(String id, long startedAt) {
		EndpointId endpointId = new EndpointId(id);
		this.endpoints.put(new EndpointEntry(endpointId, new ServiceName("service"), "v1",
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 1), new DataCenterName("zone"), 10, false,
				false, startedAt));
		return Objects.requireNonNull(this.endpoints.get(endpointId));
	}

	private static long millis(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
