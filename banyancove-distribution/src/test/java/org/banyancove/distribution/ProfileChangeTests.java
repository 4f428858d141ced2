package org.banyancove.distribution;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.banyancove.core.ServiceName;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceState;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of service changes during concurrent changes by operators, a partition between a
 * data center and the platform, and a log outage, with separate processes.
 */
class ProfileChangeTests {

	private static final String PARTITIONED_DATA_CENTER = "trou-deau";

	@TempDir
	private static Path directory;

	private static ProcessCluster cluster;

	private static RunningProcess partitionedEntry;

	private static long feedPlanningRevision;

	private final Caller caller = cluster.caller();

	@BeforeAll
	static void start() {
		cluster = new ProcessCluster(directory);
		cluster.startEngine("engine-1", "mahebourg", 100);
		cluster.startOrderService("orders-1", PARTITIONED_DATA_CENTER);
		cluster.startPlatform("mahebourg", PARTITIONED_DATA_CENTER);
		cluster.startEntry("entry-1", "mahebourg");
		partitionedEntry = cluster.startEntry("entry-2", PARTITIONED_DATA_CENTER);
		feedPlanningRevision = cluster.publishServices();
	}

	@AfterAll
	static void stop() {
		cluster.close();
	}

	// Two operators change one service from the same revision: one retires it, the
	// other keeps it active. The order in the log decides, with the same result in
	// every data center, and the losing change never takes effect.
	@Test
	void sameConcurrentChangeWinsInEveryDataCenter() {
		long revision = create("raced");
		cluster.publish(changed("raced", "first-operator", revision, ServiceState.RETIRED));
		cluster.publish(changed("raced", "second-operator", revision, ServiceState.ACTIVE));
		create("raced-marker");
		for (RunningProcess entry : cluster.entries()) {
			awaitErrorCode(entry, "raced-marker", "no_endpoint");
			assertThat(errorCode(entry, "raced")).isEqualTo("service_retired");
		}
	}

	// A data center loses its connection to the platform but not to the others. It
	// receives a change that is accepted during the partition from its peers. After
	// the partition it resumes reading the log at its last offset, and the change
	// does not revert.
	@Test
	void partitionedDataCenterReceivesChangeFromPeers() {
		long revision = create("relayed");
		cluster.entries().forEach((entry) -> awaitErrorCode(entry, "relayed", "no_endpoint"));
		this.caller.injectFault(cluster.platform(), "{\"silentListeners\":\"" + PARTITIONED_DATA_CENTER + "\"}");
		cluster.publish(changed("relayed", "retire-relayed", revision, ServiceState.RETIRED));
		awaitErrorCode(partitionedEntry, "relayed", "service_retired");
		this.caller.injectFault(cluster.platform(), "{\"silentListeners\":\"\"}");
		create("healed");
		awaitErrorCode(partitionedEntry, "healed", "no_endpoint");
		assertThat(errorCode(partitionedEntry, "relayed")).isEqualTo("service_retired");
	}

	// An entry is replaced during a log outage. It has no disk and cannot read the
	// log; its peers send it the services, so that it can serve requests.
	@Test
	void newEntryReceivesServicesFromPeersDuringLogOutage() {
		this.caller.injectFault(cluster.platform(), "{\"logOutage\":true}");
		try {
			RunningProcess newEntry = cluster.startEntry("entry-fresh", "mahebourg");
			Await.until("the new entry is ready", () -> this.caller.get(newEntry.address(), "/readyz").status() == 200);
			ModelRequest modelRequest = ModelRequest.of("Plan at a fresh entry", 20);
			Await.until("a model request is served", () -> {
				CallResponse response = this.caller.chat(newEntry, modelRequest);
				return response.status() == 200 && response.text().equals(modelRequest.expectedText());
			});
		}
		finally {
			this.caller.injectFault(cluster.platform(), "{\"logOutage\":0}");
		}
	}

	// An operator retires a service while a request is in flight. Every entry
	// rejects new requests as not run. The accepted request completes under the
	// terms it was accepted with, also for a caller that reconnects at another
	// entry.
	@Test
	void acceptedRequestCompletesAfterServiceIsRetired() {
		ModelRequest modelRequest = ModelRequest.of("Plan of a service that is retired", 400);
		RunningProcess entry = cluster.process("entry-1");
		ResponseStream stream = this.caller.stream(entry, modelRequest).awaitTokens(10);
		feedPlanningRevision = cluster.publish(feedPlanning("retire-feed", ServiceState.RETIRED));
		cluster.entries().forEach((each) -> Await.until("new requests are rejected", () -> isRetired(each)));
		assertThat(stream.tokens()).as("the request must still be in flight").isLessThan(modelRequest.tokens());
		ResponseStream again = this.caller.reconnect(partitionedEntry, stream.requestId());
		assertThat(stream.awaitEnd()).as(stream.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(stream.text()).isEqualTo(modelRequest.expectedText());
		assertThat(again.awaitEnd()).as(again.error()).isEqualTo(ResponseStream.End.COMPLETE);
		assertThat(again.text()).isEqualTo(modelRequest.expectedText());
		assertThat(cluster.invariantViolations()).isZero();
		feedPlanningRevision = cluster.publish(feedPlanning("revive-feed", ServiceState.ACTIVE));
		cluster.entries().forEach((each) -> Await.until("new requests are served", () -> !isRetired(each)));
	}

	private boolean isRetired(RunningProcess entry) {
		CallResponse response = this.caller.chat(entry, ModelRequest.of("A new plan", 1));
		if (response.errorCode().equals("service_retired")) {
			assertThat(response.execution()).isEqualTo("not-run");
			assertThat(response.header("Retry-After")).as("a retry cannot succeed").isEmpty();
			return true;
		}
		return false;
	}

	private static ProfileRecord feedPlanning(String record, ServiceState state) {
		ServiceDefinition service = ProcessCluster.FEED_PLANNING_SERVICE;
		return new ProfileRecord.ServiceChanged(record, feedPlanningRevision, new ServiceDefinition(service.name(),
				service.kind(), service.profile(), state, service.repeatableMethods(), false));
	}

	private static long create(String name) {
		return cluster.publish(changed(name, "create-" + name, -1, ServiceState.ACTIVE));
	}

	private static ProfileRecord changed(String name, String record, long revision, ServiceState state) {
		ServiceDefinition orders = ProcessCluster.ORDERS_SERVICE;
		return new ProfileRecord.ServiceChanged(record, revision, new ServiceDefinition(new ServiceName(name),
				orders.kind(), orders.profile(), state, orders.repeatableMethods(), false));
	}

	private void awaitErrorCode(RunningProcess entry, String service, String errorCode) {
		Set<String> seen = new HashSet<>();
		Await.until(service + " answers " + errorCode + ", so far " + seen, () -> {
			String now = errorCode(entry, service);
			seen.add(now);
			return now.equals(errorCode);
		});
	}

	// The error code of a repeatable call, which shows the state of the service
	// according to this entry.
	private String errorCode(RunningProcess entry, String service) {
		return this.caller
			.call("GET", entry.address(), "/services/" + service + "/state", "", "Authorization", Caller.CREDENTIAL)
			.errorCode();
	}

}
