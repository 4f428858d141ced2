package org.banyancove.core.burn;

import java.time.Duration;

/**
 * The number of requests of one key for each minute before the report's time.
 */
final class MinuteCounts {

	private static final int MINUTES = (int) BurnWindow.THREE_DAYS.length().toMinutes();

	private final long[] total = new long[MINUTES];

	private final long[] missed = new long[MINUTES];

	void add(Duration age, long total, long missed) {
		long minute = age.toMinutes();
		if (!age.isNegative() && minute < MINUTES) {
			this.total[(int) minute] += total;
			this.missed[(int) minute] += missed;
		}
	}

	long total(int fromMinute, int minutes) {
		return sum(this.total, fromMinute, minutes);
	}

	long missed(int fromMinute, int minutes) {
		return sum(this.missed, fromMinute, minutes);
	}

	private static long sum(long[] counts, int from, int minutes) {
		long sum = 0;
		for (int i = from; i < Math.min(MINUTES, from + minutes); i++) {
			sum += counts[i];
		}
		return sum;
	}

}
