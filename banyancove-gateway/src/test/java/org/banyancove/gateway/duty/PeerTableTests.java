package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTableTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final PeerTable peerTable = new PeerTable();

	@Test
	void tellsWhatAGatewayLetInSinceItsLastReport() {
		assertThat(this.peerTable.read(report(1000), 0)).isEmpty();
		assertThat(this.peerTable.read(report(1400), SECOND / 4)).containsEntry(ACCOUNT, 400.0);
	}

	// A data centre is cut off for six seconds. Both sides go on with their parts of an
	// account's quota. When the cut ends, each side hears at once what the other let
	// in
	// during all that time. Charged again, it overdraws the account by seconds of its
	// rate,
	// and callers well within their quota are rejected.
	@Test
	void whatWasLeftToASilentGatewayIsNotChargedOnceMore() {
		this.peerTable.read(report(0), 0);
		double charged = this.peerTable.read(report(60_000), 6 * SECOND).getOrDefault(ACCOUNT, 0.0);
		assertThat(charged).as("what it let in before it counted as silent").isBetween(10_000.0, 20_000.0);
	}

	// A data centre is cut off. Connections to its endpoints stay open and silent, so
	// that
	// callers would wait out their deadlines there. Its gateways, which report several
	// times a second, are not heard either.
	@Test
	void aDataCentreAllOfWhoseGatewaysFellSilentMayBeCutOff() {
		this.peerTable.read(report(1, "near"), 0);
		this.peerTable.read(report(2, "far"), 0);
		this.peerTable.read(report(3, "far"), 0);
		this.peerTable.read(report(4, "third"), 0);
		this.peerTable.read(report(3, "far"), SECOND);
		assertThat(unreachableDataCenters(SECOND)).extracting(DataCenterName::value).containsExactly("third");
		assertThat(unreachableDataCenters(2 * SECOND)).extracting(DataCenterName::value)
			.containsExactlyInAnyOrder("far", "third");
		this.peerTable.read(report(4, "third"), 2 * SECOND);
		assertThat(unreachableDataCenters(2 * SECOND)).extracting(DataCenterName::value).containsExactly("far");
	}

	// Nine gateways run. All of them can tell which three read the store for the rest.
	// One
	// of these dies, and a fourth one takes its place without a word.
	@Test
	void aFewGatewaysReadForAllAndOthersStepInWhenTheyAreNotHeard() {
		for (long incarnation = 1; incarnation <= 3; incarnation++) {
			this.peerTable.read(reading(incarnation), 0);
		}
		Duration silence = Duration.ofMillis(600);
		assertThat(this.peerTable.readingIsLeftToOthers(9, silence, 0)).isTrue();
		assertThat(this.peerTable.readingIsLeftToOthers(2, silence, 0)).isFalse();
		this.peerTable.read(reading(1), SECOND);
		this.peerTable.read(reading(2), SECOND);
		assertThat(this.peerTable.readingIsLeftToOthers(9, silence, SECOND)).isFalse();
	}

	// A gateway that reads cannot reach the store any more, but goes on reporting.
	@Test
	void aGatewayThatDoesNotReadDoesNotCount() {
		this.peerTable.read(reading(1), 0);
		this.peerTable.read(reading(2), 0);
		this.peerTable.read(report(3, "near"), 0);
		assertThat(this.peerTable.readingIsLeftToOthers(9, Duration.ofMillis(600), 0)).isFalse();
	}

	private static GatewayReport reading(long incarnation) {
		return new GatewayReport(incarnation, new DataCenterName("near"), Map.of(), Map.of(), Map.of(), Map.of(), false,
				new KnownState(true, 5, 5, 5));
	}

	private Set<DataCenterName> unreachableDataCenters(long now) {
		return this.peerTable.unreachableDataCenters(new DataCenterName("near"), Duration.ofMillis(600), now);
	}

	private static GatewayReport report(long incarnation, String zone) {
		return new GatewayReport(incarnation, new DataCenterName(zone), Map.of(), Map.of(), Map.of(), Map.of(), false,
				KnownState.NONE);
	}

	private static GatewayReport report(double used) {
		return new GatewayReport(7, new DataCenterName("zone"), Map.of(), Map.of(ACCOUNT, used), Map.of(), Map.of(),
				false, KnownState.NONE);
	}

}
