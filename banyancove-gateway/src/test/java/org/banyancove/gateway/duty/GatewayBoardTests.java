package org.banyancove.gateway.duty;

import java.time.Duration;
import java.util.Map;

import org.banyancove.core.AccountName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayBoardTests {

	private static final AccountName ACCOUNT = new AccountName("account");

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final GatewayBoard board = new GatewayBoard();

	@Test
	void tellsWhatAGatewayLetInSinceItsLastReport() {
		assertThat(this.board.read(report(1000), 0)).isEmpty();
		assertThat(this.board.read(report(1400), SECOND / 4)).containsEntry(ACCOUNT, 400.0);
	}

	// A data centre is cut off for six seconds. Both sides go on with their parts of an
	// account's allowance. When the cut ends, each side hears at once what the other let
	// in
	// during all that time. Charged again, it overdraws the account by seconds of its
	// rate,
	// and callers well within their allowance are refused.
	@Test
	void whatWasLeftToASilentGatewayIsNotChargedOnceMore() {
		this.board.read(report(0), 0);
		double charged = this.board.read(report(60_000), 6 * SECOND).getOrDefault(ACCOUNT, 0.0);
		assertThat(charged).as("what it let in before it counted as silent").isBetween(10_000.0, 20_000.0);
	}

	private static GatewayReport report(double used) {
		return new GatewayReport(7, Map.of(), Map.of(ACCOUNT, used), Map.of(), Map.of(), false);
	}

}
