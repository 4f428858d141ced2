package org.banyancove.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.VmId;
import org.banyancove.core.peer.PeerStatus;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipSystemTests {

	private static final String SEED = "north1-0:1";

	private final MembershipFleet fleet = new MembershipFleet(42);

	@Test
	void joinsThroughOneSeedAcrossThreeDataCenters() {
		startThreeDataCenters(3);
		this.fleet.run(Duration.ofSeconds(30));
		assertThat(this.fleet.members.values()).allSatisfy((member) -> assertThat(member.table.living()).hasSize(9));
	}

	/*
	 * A new process with seeds waits for its first peer before it accepts requests, since
	 * no second entry could hold them. If no seed answers, it serves alone.
	 */
	@Test
	void isJoiningUntilFirstPeerOrJoinTimeout() {
		MembershipFleet.Member first = this.fleet.start("north1", 0, "north3-9:1");
		assertThat(first.table.isJoining()).isTrue();
		this.fleet.run(Duration.ofSeconds(6));
		assertThat(first.table.isJoining()).isFalse();
		MembershipFleet.Member second = this.fleet.start("north1", 1, SEED);
		assertThat(second.table.isJoining()).isTrue();
		this.fleet.run(Duration.ofSeconds(2));
		assertThat(second.table.living()).hasSize(2);
		assertThat(second.table.isJoining()).isFalse();
	}

	@Test
	void heartbeatFanOutIsBoundedInLargeDataCenter() {
		for (int number = 0; number < 62; number++) {
			this.fleet.start("north1", number, SEED);
		}
		this.fleet.run(Duration.ofSeconds(30));
		assertThat(this.fleet.members.values()).allSatisfy((member) -> {
			assertThat(member.table.living()).hasSize(62);
			assertThat(member.system.neighbors()).hasSize(MembershipSettings.defaults().fanOut());
		});
		assertThat(RingTopology.distances(61, 4)).containsExactly(1, 3, 8, 22);
		assertThat(RingTopology.distances(2, 4)).containsExactly(1, 2);
	}

	/*
	 * An entry fails without notice. Its neighbors miss its heartbeats and suspect it,
	 * the suspicion is not refuted, and all peers declare it dead, so that the holders of
	 * its requests take over.
	 */
	@Test
	void allPeersDetectDeadProcess() {
		startThreeDataCenters(3);
		this.fleet.run(Duration.ofSeconds(30));
		this.fleet.members.remove("north2-1:1");
		this.fleet.run(Duration.ofSeconds(12));
		assertThat(this.fleet.members.values()).allSatisfy((member) -> {
			assertThat(member.table.living()).hasSize(8);
			assertThat(member.died).hasSize(1);
		});
	}

	/*
	 * An entry is paused for longer than the timeouts and is declared dead. After it
	 * resumes it receives this state, increments its refutation number and rejoins.
	 */
	@Test
	void pausedProcessRejoins() {
		startThreeDataCenters(3);
		this.fleet.run(Duration.ofSeconds(30));
		this.fleet.paused.add("north1-2:1");
		this.fleet.run(Duration.ofSeconds(20));
		assertThat(this.fleet.member("north3-0:1").table.living()).hasSize(8);
		this.fleet.paused.clear();
		this.fleet.run(Duration.ofSeconds(20));
		assertThat(this.fleet.members.values()).allSatisfy((member) -> assertThat(member.table.living()).hasSize(9));
	}

	/*
	 * A network partition isolates a data center for an hour. Within it the processes
	 * stay members; after the partition all processes are members on both sides again,
	 * also one that was started during the partition.
	 */
	@Test
	void partitionedDataCenterRejoinsAfterOneHour() {
		startThreeDataCenters(3);
		this.fleet.run(Duration.ofSeconds(30));
		this.fleet.partitioned.add(new DataCenterName("north3"));
		this.fleet.run(Duration.ofMinutes(5));
		this.fleet.start("north3", 7, "north3-0:1");
		this.fleet.run(Duration.ofMinutes(55));
		this.fleet.partitioned.clear();
		this.fleet.run(Duration.ofMinutes(1));
		assertThat(this.fleet.members.values()).allSatisfy((member) -> assertThat(member.table.living()).hasSize(10));
	}

	/*
	 * The platform's list is outdated and the reclaim notice of an endpoint's VM reaches
	 * one entry only, while 20 % of all messages are lost. Every entry is notified once.
	 */
	@Test
	void leavingNoticeReachesEveryEntryOnce() {
		for (int number = 0; number < 20; number++) {
			this.fleet.start("north1", number, SEED);
		}
		this.fleet.run(Duration.ofSeconds(30));
		this.fleet.lossProbability = 0.2;
		VmId vm = new VmId("engine-1");
		this.fleet.member(SEED).system.announceVmLeaving(vm, List.of(new EndpointId("engine-1")), Instant.EPOCH);
		this.fleet.run(Duration.ofSeconds(1));
		assertThat(this.fleet.members.values())
			.allSatisfy((member) -> assertThat(member.leavingVms).containsExactly(vm));
	}

	@Test
	void allPeersReportLeavingEntryAsLeaving() {
		startThreeDataCenters(3);
		this.fleet.run(Duration.ofSeconds(30));
		MembershipFleet.Member leaving = this.fleet.member("north1-1:1");
		leaving.system.leave();
		this.fleet.run(Duration.ofSeconds(2));
		assertThat(this.fleet.members.values())
			.allSatisfy((member) -> assertThat(member.table.find(leaving.system.self().incarnation()))
				.satisfies((state) -> assertThat(state.status()).isEqualTo(PeerStatus.LEAVING)));
	}

	@Test
	void recoversFromFalseDeathsAfterHeavyMessageLoss() {
		startThreeDataCenters(3);
		this.fleet.run(Duration.ofSeconds(30));
		this.fleet.lossProbability = 0.3;
		this.fleet.run(Duration.ofMinutes(5));
		this.fleet.lossProbability = 0;
		this.fleet.run(Duration.ofSeconds(30));
		assertThat(this.fleet.members.values()).allSatisfy((member) -> assertThat(member.table.living()).hasSize(9));
	}

	private void startThreeDataCenters(int each) {
		for (String dataCenter : List.of("north1", "north2", "north3")) {
			for (int number = 0; number < each; number++) {
				this.fleet.start(dataCenter, number, SEED, dataCenter + "-0:1");
			}
		}
	}

}
