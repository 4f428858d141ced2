package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyancove.core.AccountName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.error.ErrorKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectSystemTests {

	private static final Fingerprint POISON = Fingerprint.of(new AccountName("a"), new byte[] { 1 });

	private static final Fingerprint HARMLESS = Fingerprint.of(new AccountName("a"), new byte[] { 2 });

	private static final Fingerprint OTHER_HARMLESS = Fingerprint.of(new AccountName("a"), new byte[] { 3 });

	private static final SuspectDecision REFUSED = new SuspectDecision.Refused(ErrorKind.REQUEST_CRASHES_ENDPOINTS);

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private final SuspectSystem system = system();

	private final SuspectSystem peer = system();

	// A request crashes its endpoint while a harmless one is running there. Both
	// run again, isolated; the harmless one completes, the other crashes a second
	// endpoint and is refused, as is its caller's repeat through another entry.
	@Test
	void requestThatCrashedTwoEndpointsIsRefusedAtAllEntriesAndHarmlessOneCleared() {
		run("1", POISON, "e1");
		run("2", HARMLESS, "e1");
		crash(this.system, "e1");
		assertThat(this.system.decide(POISON)).isEqualTo(new SuspectDecision.RunIsolated(ids("e1")));
		run("1", POISON, "e2");
		assertThat(this.system.decide(HARMLESS)).isEqualTo(new SuspectDecision.RunIsolated(ids("e1", "e2")));
		run("2", HARMLESS, "e3");
		crash(this.system, "e2");
		assertThat(this.system.decide(POISON)).isInstanceOf(SuspectDecision.Wait.class);
		this.now = this.now.plusSeconds(1);
		assertThat(this.system.decide(POISON)).isEqualTo(REFUSED);
		this.system.attemptEnded(new RequestId("2"), new EndpointId("e3"), true);
		assertThat(this.system.decide(HARMLESS)).isEqualTo(new SuspectDecision.NotSuspect());
		this.peer.merge(this.system.records());
		this.peer.merge(this.system.records());
		assertThat(this.peer.decide(POISON)).isEqualTo(REFUSED);
		assertThat(this.peer.decide(HARMLESS)).isEqualTo(new SuspectDecision.NotSuspect());
	}

	// The caller sends the request through two entries, and it crashes one endpoint
	// through each. Neither entry observes two crashes; their merged records
	// contain both.
	@Test
	void crashesReportedByTwoEntriesAreCombined() {
		this.system.attemptStarted(new RequestId("1"), POISON, new EndpointId("e1"));
		crash(this.system, "e1");
		this.peer.attemptStarted(new RequestId("2"), POISON, new EndpointId("e2"));
		crash(this.peer, "e2");
		this.system.merge(this.peer.records());
		this.now = this.now.plusSeconds(1);
		assertThat(this.system.decide(POISON)).isEqualTo(REFUSED);
	}

	// Two entries each run one suspect at the same endpoint, unaware of each other,
	// and it crashes: each entry alone would attribute the crash to its own
	// suspect. The merged records show that the suspects share both crashes, so
	// neither is refused until it crashes an endpoint alone; that explains the
	// others, and the harmless one is cleared.
	@Test
	void harmlessRequestThatSharedBothCrashesIsNotRefused() {
		run("1", POISON, "e1");
		run("2", HARMLESS, "e1");
		crash(this.system, "e1");
		this.peer.merge(this.system.records());
		run("2", HARMLESS, "e2");
		this.peer.attemptStarted(new RequestId("3"), POISON, new EndpointId("e2"));
		crash(this.system, "e2");
		crash(this.peer, "e2");
		this.system.merge(this.peer.records());
		this.now = this.now.plusSeconds(1);
		assertThat(this.system.decide(HARMLESS)).isInstanceOf(SuspectDecision.RunIsolated.class);
		run("1", POISON, "e3");
		crash(this.system, "e3");
		this.now = this.now.plusSeconds(1);
		assertThat(this.system.decide(POISON)).isEqualTo(REFUSED);
		assertThat(this.system.decide(HARMLESS)).isEqualTo(new SuspectDecision.NotSuspect());
	}

	// A wave affects a zone: two VMs have a notice, a third is lost before its own notice
	// arrives. Requests that were running on it are not suspect, also if it was lost
	// before the notices.
	@Test
	void reclaimWaveIsNotClassifiedAsCrashes() {
		run("1", HARMLESS, "e1");
		run("2", OTHER_HARMLESS, "e4");
		crash(this.system, "e1");
		assertThat(this.system.decide(HARMLESS)).isInstanceOf(SuspectDecision.RunIsolated.class);
		this.system.reclaimNoticeReceived(new VmId("vm-e2"), new ZoneName("z"));
		this.system.reclaimNoticeReceived(new VmId("vm-e3"), new ZoneName("z"));
		assertThat(this.system.decide(HARMLESS)).isEqualTo(new SuspectDecision.NotSuspect());
		assertThat(lose(this.system, "e4")).isEqualTo(LossCause.WAVE);
		assertThat(lose(this.system, "e2")).isEqualTo(LossCause.RECLAIM);
		assertThat(this.system.decide(HARMLESS)).isEqualTo(new SuspectDecision.NotSuspect());
		assertThat(this.system.decide(OTHER_HARMLESS)).isEqualTo(new SuspectDecision.NotSuspect());
	}

	// A caller sends a request that crashes endpoints during a wave, and each loss is
	// classified as part of the wave. The request runs isolated after two such losses
	// and is refused after four, rather than crashing endpoints until the wave ends.
	@Test
	void requestThatCrashesEndpointsIsRefusedDuringWave() {
		this.system.reclaimNoticeReceived(new VmId("vm-n1"), new ZoneName("z"));
		this.system.reclaimNoticeReceived(new VmId("vm-n2"), new ZoneName("z"));
		for (int i = 1; i <= 4; i++) {
			assertThat(this.system.decide(POISON)).isNotEqualTo(REFUSED);
			run("g" + i, POISON, "e" + i);
			assertThat(lose(this.system, "e" + i)).isEqualTo(LossCause.WAVE);
			this.now = this.now.plusSeconds(3);
		}
		assertThat(this.system.decide(POISON)).isEqualTo(REFUSED);
	}

	// A rack fails without any notice: three VMs at once, each with different
	// requests. One request sent many times at once has the same symptom, but ran
	// at all three.
	@Test
	void simultaneousLossInZoneIsWaveUnlessOneRequestRanAtAllEndpoints() {
		for (int i = 1; i <= 3; i++) {
			run("r" + i, Fingerprint.of(new AccountName("a"), new byte[] { (byte) (10 + i) }), "e" + i);
			run("g" + i, POISON, "f" + i);
		}
		lose(this.system, "e1", "zone-e");
		lose(this.system, "e2", "zone-e");
		assertThat(lose(this.system, "e3", "zone-e")).isEqualTo(LossCause.WAVE);
		assertThat(this.system.decide(Fingerprint.of(new AccountName("a"), new byte[] { 11 })))
			.isEqualTo(new SuspectDecision.NotSuspect());
		lose(this.system, "f1", "zone-f");
		lose(this.system, "f2", "zone-f");
		assertThat(lose(this.system, "f3", "zone-f")).isEqualTo(LossCause.CRASH);
	}

	@Test
	void suspectRunsOnceAtATimeAndExpires() {
		run("1", POISON, "e1");
		crash(this.system, "e1");
		run("1", POISON, "e2");
		assertThat(this.system.decide(POISON)).isInstanceOf(SuspectDecision.Wait.class);
		this.system.attemptEnded(new RequestId("1"), new EndpointId("e2"), false);
		this.now = this.now.plus(Duration.ofMinutes(31));
		this.system.tick();
		assertThat(this.system.size()).isZero();
	}

	private void run(String request, Fingerprint fingerprint, String endpoint) {
		this.system.attemptStarted(new RequestId(request), fingerprint, new EndpointId(endpoint));
	}

	private void crash(SuspectSystem at, String endpoint) {
		assertThat(lose(at, endpoint)).isEqualTo(LossCause.CRASH);
	}

	private LossCause lose(SuspectSystem at, String endpoint) {
		return lose(at, endpoint, "z");
	}

	private LossCause lose(SuspectSystem at, String endpoint, String zone) {
		return at.endpointLost(new EndpointId(endpoint), new VmId("vm-" + endpoint), new ZoneName(zone));
	}

	private SuspectSystem system() {
		return new SuspectSystem((InstantSource) () -> this.now, Duration.ofSeconds(1));
	}

	private static Set<EndpointId> ids(String... names) {
		return Set.of(names).stream().map(EndpointId::new).collect(Collectors.toSet());
	}

}
