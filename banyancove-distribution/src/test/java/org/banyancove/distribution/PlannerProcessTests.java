package org.banyancove.distribution;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of two planners of one data center with the platform and engines, all as separate
 * processes.
 */
class PlannerProcessTests {

	// One VM per zone serves 20 after the loss of the largest zone, and costs less
	// than on-demand VMs.
	private static final int TARGET = 20;

	private static final Map<String, Integer> ONE_VM_PER_ZONE = Map.of("north1-a", 1, "north1-b", 1, "north1-c", 1);

	// Covers enough VM lists and order reads for an incorrect planner to start a VM
	// or send an order.
	private static final Duration OBSERVATION_PERIOD = Duration.ofSeconds(3);

	@TempDir
	Path directory;

	// Two planners run; the lease holder is paused by SIGSTOP, and the other
	// planner acquires the lease and continues with the existing VMs. The resumed
	// planner is not aware of this and must do no harm: it starts no VM, and the
	// engines keep their orders. There are never more than three VMs, each with its
	// model.
	@Test
	void pausedLeaseHolderIsReplacedAndTakesNoActionAfterResume() {
		try (PlannerCluster cluster = new PlannerCluster(this.directory, TARGET)) {
			List<RunningProcess> engines = PlannerCluster.ZONES.stream()
				.map((zone) -> cluster.startMachine(zone, true))
				.toList();
			RunningProcess first = cluster.startPlanner("planner-1");
			Await.until("the first planner has the lease", () -> cluster.fence(first) >= 0);
			RunningProcess second = cluster.startPlanner("planner-2");
			awaitFleet(cluster, ONE_VM_PER_ZONE, engines);
			long oldFence = cluster.fence(first);
			assertThat(cluster.fence(second)).isNegative();
			first.pause();
			Await.until("the other planner has the lease", () -> cluster.fence(second) > oldFence);
			Await.pause(OBSERVATION_PERIOD);
			first.resume();
			Await.until("the first planner has given up its lease", () -> cluster.fence(first) < 0);
			Await.pause(OBSERVATION_PERIOD);
			assertThat(cluster.fence(second)).isGreaterThan(oldFence);
			assertThat(cluster.startedCount()).isEqualTo(ONE_VM_PER_ZONE.size());
			awaitFleet(cluster, ONE_VM_PER_ZONE, engines);
			assertThat(cluster.invariantViolations()).isZero();
		}
	}

	// The lease holder is killed by SIGKILL just as its start requests are
	// answered, so only the cloud knows of the started VMs. The other planner lists
	// the VMs first and starts only the missing ones.
	@Test
	void vmsStartedByDeadLeaseHolderAreNotStartedAgain() {
		try (PlannerCluster cluster = new PlannerCluster(this.directory, TARGET)) {
			RunningProcess first = cluster.startPlanner("planner-1");
			RunningProcess second = cluster.startPlanner("planner-2");
			Await.until("a planner has started VMs", () -> cluster.startedCount() > 0);
			RunningProcess holder = (cluster.fence(first) >= 0) ? first : second;
			holder.kill();
			RunningProcess other = (holder == first) ? second : first;
			Await.until("the other planner has the lease", () -> cluster.fence(other) >= 0);
			Await.until("the fleet has the expected VMs", () -> cluster.runningVmsByZone().equals(ONE_VM_PER_ZONE));
			Await.pause(OBSERVATION_PERIOD);
			assertThat(cluster.startedCount()).isEqualTo(ONE_VM_PER_ZONE.size());
			assertThat(cluster.invariantViolations()).isZero();
		}
	}

	// The cloud starts the first VMs but its responses are lost, so the planner
	// cannot know whether they were started. It retries with the same client
	// tokens, and no VM is started twice.
	@Test
	void vmIsNotStartedTwiceWhenResponseIsLost() {
		try (PlannerCluster cluster = new PlannerCluster(this.directory, TARGET)) {
			cluster.caller().injectFault(cluster.platform(), "{\"loseCloudAnswers\": 3}");
			RunningProcess planner = cluster.startPlanner("planner-1");
			Await.until("the fleet has the expected VMs", () -> cluster.runningVmsByZone().equals(ONE_VM_PER_ZONE));
			Await.pause(OBSERVATION_PERIOD);
			assertThat(cluster.startedCount()).isEqualTo(ONE_VM_PER_ZONE.size());
			assertThat(cluster.metrics(planner)).contains("result=\"unanswered\"");
			assertThat(cluster.invariantViolations()).isZero();
		}
	}

	// The cheapest zone rejects start requests. The planner does not wait for it
	// and starts the missing VMs in other zones, so the target is reached without
	// that zone.
	@Test
	void capacityIsStartedInOtherZonesWhenOneRejectsStarts() {
		try (PlannerCluster cluster = new PlannerCluster(this.directory, TARGET)) {
			cluster.caller().injectFault(cluster.platform(), "{\"refuseStartsIn\": \"north1-a\"}");
			RunningProcess planner = cluster.startPlanner("planner-1");
			Await.until("the target capacity is reached",
					() -> cluster.status(planner).path("surviving").asDouble() >= TARGET);
			assertThat(cluster.runningVmsByZone()).doesNotContainKey("north1-a").containsKeys("north1-b", "north1-c");
			assertThat(cluster.metrics(planner)).contains("machine_class=\"gpu\",result=\"refused\"");
			assertThat(cluster.invariantViolations()).isZero();
		}
	}

	// A delayed order of a former lease holder reaches two engines. The engine that
	// checks fencing numbers rejects it; the one that ignores them applies it and
	// unloads the model. The planner detects this when it reads the orders back,
	// and corrects the engine.
	@Test
	void staleOrderAtEngineWithoutFencingIsCorrected() {
		try (PlannerCluster cluster = new PlannerCluster(this.directory, TARGET)) {
			RunningProcess checks = cluster.startMachine("north1-a", true);
			RunningProcess ignores = cluster.startMachine("north1-b", false);
			RunningProcess planner = cluster.startPlanner("planner-1");
			cluster.startMachine("north1-c", true);
			awaitFleet(cluster, ONE_VM_PER_ZONE, List.of(checks, ignores));
			long fence = cluster.fence(planner);
			assertThat(cluster.sendOrder(checks, fence - 1, "scores-6")).isEqualTo(409);
			assertThat(cluster.sendOrder(ignores, fence - 1, "scores-6")).isEqualTo(200);
			assertThat(cluster.orders(ignores).path("fence").asLong()).isEqualTo(fence - 1);
			Await.until("the engine has its model again", () -> cluster.hasModel(ignores));
			assertThat(cluster.orders(ignores).path("fence").asLong()).isEqualTo(fence);
			assertThat(cluster.hasModel(checks)).isTrue();
			assertThat(cluster.invariantViolations()).isZero();
		}
	}

	private static void awaitFleet(PlannerCluster cluster, Map<String, Integer> fleet, List<RunningProcess> engines) {
		Await.until("the fleet has the expected VMs", () -> cluster.runningVmsByZone().equals(fleet));
		Await.until("every engine has its model", () -> engines.stream().allMatch(cluster::hasModel));
	}

}
