package org.banyancove.core.burn;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;

/**
 * Counts requests by profile and account over the three days before a report and computes
 * the burn rate of each error budget. Used by one thread.
 */
public final class BurnTable {

	private final Instant end;

	private final ToDoubleFunction<ProfileName> objectives;

	private final SortedMap<BurnKey, MinuteCounts> counts = new TreeMap<>();

	/**
	 * Creates an empty table.
	 * @param end the report's time, at which all windows end
	 * @param objectives the share of requests that should meet a profile's targets, above
	 * 0 and below 1
	 */
	public BurnTable(Instant end, ToDoubleFunction<ProfileName> objectives) {
		this.end = end;
		this.objectives = objectives;
	}

	/**
	 * Adds a request. One that does not count, or is outside the three days, is ignored.
	 * @param sample the request
	 */
	public void add(RequestSample sample) {
		if (sample.counts()) {
			add(sample.profile(), sample.account(), sample.at(), 1, sample.met() ? 0 : 1);
		}
	}

	/**
	 * Adds a number of requests.
	 * @param profile the profile
	 * @param account the account
	 * @param at the time of the requests
	 * @param total the number of requests
	 * @param missed the number of requests that missed the targets
	 */
	public void add(ProfileName profile, AccountName account, Instant at, long total, long missed) {
		if (missed < 0 || missed > total) {
			throw new IllegalArgumentException("missed must be from 0 to total " + total + ": " + missed);
		}
		Duration age = Duration.between(at, this.end);
		counts(new BurnKey(profile, null)).add(age, total, missed);
		counts(new BurnKey(profile, account)).add(age, total, missed);
	}

	/**
	 * Computes the burn of every profile and account.
	 * @return the rows by profile, with that of all accounts first
	 */
	public List<BurnRow> rows() {
		List<BurnRow> rows = new ArrayList<>();
		this.counts.forEach((key, minutes) -> rows.add(row(key, minutes)));
		return rows;
	}

	/**
	 * Computes the burn rate over time.
	 * @param key the profile and account
	 * @param window the window that ends at each point
	 * @param step the time between points, in whole minutes
	 * @return the points in the order of time, the last one at the report's time
	 */
	public List<BurnPoint> history(BurnKey key, BurnWindow window, Duration step) {
		MinuteCounts minutes = counts(key);
		double objective = this.objectives.applyAsDouble(key.profile());
		List<BurnPoint> points = new ArrayList<>();
		for (long age = BurnWindow.THREE_DAYS.length().toMinutes() - 1; age >= 0; age--) {
			if (age % step.toMinutes() == 0) {
				double rate = burn(minutes, window, (int) age, objective).rate();
				points.add(new BurnPoint(this.end.minus(Duration.ofMinutes(age)), rate));
			}
		}
		return points;
	}

	private MinuteCounts counts(BurnKey key) {
		return this.counts.computeIfAbsent(key, (absentKey) -> new MinuteCounts());
	}

	private BurnRow row(BurnKey key, MinuteCounts minutes) {
		double objective = this.objectives.applyAsDouble(key.profile());
		List<WindowBurn> windows = new ArrayList<>();
		for (BurnWindow window : BurnWindow.values()) {
			windows.add(burn(minutes, window, 0, objective));
		}
		return new BurnRow(key, objective, windows, alarms(windows, objective));
	}

	private static WindowBurn burn(MinuteCounts minutes, BurnWindow window, int age, double objective) {
		int length = (int) window.length().toMinutes();
		long total = minutes.total(age, length);
		long missed = minutes.missed(age, length);
		double allowed = 1 - objective;
		double rate = (total > 0) ? missed / (total * allowed) : 0;
		long periodTotal = minutes.total(0, (int) BurnWindow.THREE_DAYS.length().toMinutes());
		double spent = (periodTotal > 0) ? missed / (periodTotal * allowed) : 0;
		return new WindowBurn(window, total, missed, rate, spent);
	}

	private static Set<BurnAlarm> alarms(List<WindowBurn> windows, double objective) {
		Set<BurnAlarm> alarms = EnumSet.noneOf(BurnAlarm.class);
		for (BurnAlarm alarm : BurnAlarm.values()) {
			double threshold = alarm.rateFor(objective);
			if (WindowBurn.over(windows, alarm.longWindow()).rate() >= threshold
					&& WindowBurn.over(windows, alarm.shortWindow()).rate() >= threshold) {
				alarms.add(alarm);
			}
		}
		return alarms;
	}

}
