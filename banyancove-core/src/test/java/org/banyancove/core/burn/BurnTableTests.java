package org.banyancove.core.burn;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class BurnTableTests {

	private static final Instant END = Instant.parse("2026-01-04T00:00:00Z");

	private static final ProfileName DAWN = new ProfileName("dawn");

	private static final AccountName FLEET = new AccountName("fleet");

	private final BurnTable table = new BurnTable(END, (profile) -> 0.95);

	@Test
	void computesRatesAndBudgetFromSharesOfRequests() {
		add(Duration.ofMinutes(2), 100, 50);
		add(Duration.ofHours(5), 300, 0);
		add(Duration.ofDays(2), 600, 0);
		BurnRow row = this.table.rows().getFirst();
		assertThat(row.key()).isEqualTo(new BurnKey(DAWN, null));
		assertThat(row.burnOver(BurnWindow.FIVE_MINUTES).rate()).isCloseTo(10, within(1e-9));
		assertThat(row.burnOver(BurnWindow.SIX_HOURS).rate()).isCloseTo(2.5, within(1e-9));
		assertThat(row.burnOver(BurnWindow.THREE_DAYS))
			.satisfies((burn) -> assertThat(burn.rate()).isCloseTo(1, within(1e-9)))
			.satisfies((burn) -> assertThat(burn.budgetSpent()).isCloseTo(1, within(1e-9)));
	}

	// The endpoints of a profile fail for an hour and then recover. The alarm must be
	// raised during the failure. Ten minutes later the rate over one hour is still high,
	// but the alarm must have ended, or operators learn to ignore it.
	@Test
	void fastAlarmEndsSoonAfterItsCause() {
		add(Duration.ofMinutes(30), 100, 80);
		add(Duration.ofMinutes(1), 100, 80);
		assertThat(this.table.rows().getFirst().alarms()).containsExactlyInAnyOrder(BurnAlarm.FAST, BurnAlarm.SLOW);
		BurnTable recovered = new BurnTable(END.plus(Duration.ofMinutes(10)), (profile) -> 0.95);
		recovered.add(DAWN, FLEET, END.minus(Duration.ofMinutes(1)), 100, 80);
		recovered.add(DAWN, FLEET, END.plus(Duration.ofMinutes(9)), 10, 0);
		assertThat(recovered.rows().getFirst().burnOver(BurnWindow.ONE_HOUR).rate()).isGreaterThan(14);
		assertThat(recovered.rows().getFirst().alarms()).containsExactly(BurnAlarm.SLOW);
	}

	// The objective of a profile is 0.9, and every request fails. Its burn rate is 10,
	// which is the maximum, so an alarm at 14.4 would never be raised.
	@Test
	void fastAlarmIsRaisedForLowObjective() {
		BurnTable low = new BurnTable(END, (profile) -> 0.9);
		low.add(DAWN, FLEET, END.minus(Duration.ofMinutes(30)), 100, 100);
		low.add(DAWN, FLEET, END.minus(Duration.ofMinutes(1)), 100, 100);
		assertThat(low.rows().getFirst().alarms()).contains(BurnAlarm.FAST);
	}

	@Test
	void callerErrorsDoNotCount() {
		this.table.add(sample(false, "malformed_request"));
		this.table.add(sample(false, "service_retired"));
		this.table.add(sample(false, "answer_not_kept"));
		assertThat(this.table.rows()).isEmpty();
		this.table.add(sample(false, "overloaded"));
		this.table.add(sample(false, "account_over_limit"));
		this.table.add(sample(false, "outcome_unknown"));
		this.table.add(sample(true, null));
		assertThat(this.table.rows().getLast().burnOver(BurnWindow.FIVE_MINUTES)).satisfies((burn) -> {
			assertThat(burn.total()).isEqualTo(4);
			assertThat(burn.missed()).isEqualTo(3);
		});
	}

	@Test
	void historyEndsWithRateOfReport() {
		add(Duration.ofMinutes(90), 100, 50);
		add(Duration.ofMinutes(1), 100, 10);
		List<BurnPoint> history = this.table.history(new BurnKey(DAWN, null), BurnWindow.ONE_HOUR,
				Duration.ofMinutes(30));
		assertThat(history).hasSize(144);
		assertThat(history.getLast())
			.isEqualTo(new BurnPoint(END, this.table.rows().getFirst().burnOver(BurnWindow.ONE_HOUR).rate()));
		assertThat(history.get(142).rate()).isZero();
		assertThat(history.get(141).rate()).isCloseTo(10, within(1e-9));
	}

	@Property(tries = 100, seed = "11")
	void countsOfAccountsAddUpToProfile(@ForAll @Size(max = 50) List<@IntRange(max = 5000) Integer> agesInMinutes) {
		BurnTable burns = new BurnTable(END, (profile) -> 0.9);
		for (int age : agesInMinutes) {
			burns.add(DAWN, new AccountName("a" + age % 3), END.minus(Duration.ofMinutes(age)), 2, age % 2);
		}
		List<BurnRow> rows = burns.rows();
		for (BurnWindow window : BurnWindow.values()) {
			long inWindow = agesInMinutes.stream().filter((age) -> age < window.length().toMinutes()).count();
			assertThat(rows.stream().mapToLong((row) -> row.burnOver(window).total()).sum()).isEqualTo(4 * inWindow);
		}
	}

	private void add(Duration age, long total, long missed) {
		this.table.add(DAWN, FLEET, END.minus(age), total, missed);
	}

	private static RequestSample sample(boolean met, @Nullable String errorCode) {
		return new RequestSample(END, new RequestId("r"), FLEET, new ServiceName("feed"), DAWN, null, 20, met,
				errorCode);
	}

}
