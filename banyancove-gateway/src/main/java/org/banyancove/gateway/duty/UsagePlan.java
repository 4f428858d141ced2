package org.banyancove.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Decides which windows are to be reported, and keeps what was written down.
 * <p>
 * A report is fixed once its window has been over for long enough that every gateway has
 * reported its counts. It is written into the lease before it is sent, so that a
 * successor sends the same counts again instead of others.
 */
public final class UsagePlan {

	/**
	 * From a window's end until all have reported their counts: several times their
	 * interval.
	 */
	private static final Duration SETTLE = Duration.ofSeconds(2);

	/** Reports that a lease names: more would be past their due time. */
	private static final int MAXIMUM_NAMED = 4;

	private final UsageCounter windows;

	private final long firstWindow;

	/**
	 * Creates the plan.
	 * @param windows numbers the windows
	 * @param start when this process started: of a window before, it knows nothing
	 */
	public UsagePlan(UsageCounter windows, Instant start) {
		this.windows = windows;
		this.firstWindow = windows.windowOf(start);
	}

	/**
	 * Returns the reports that the next lease record is to name.
	 * @param named those that the newest record names
	 * @param now the time of day
	 * @param counted gives the counts of a window
	 * @return the reports, the oldest first
	 */
	public List<UsageReport> toName(List<UsageReport> named, Instant now, LongFunction<UsageReport> counted) {
		long settled = this.windows.windowOf(now.minus(SETTLE)) - 1;
		long next = named.isEmpty() ? this.firstWindow : named.getLast().window() + 1;
		next = Math.max(next, settled - MAXIMUM_NAMED + 1);
		List<UsageReport> all = new ArrayList<>(named);
		for (long window = next; window <= settled; window++) {
			all.add(counted.apply(window));
		}
		return List.copyOf(all.subList(Math.max(0, all.size() - MAXIMUM_NAMED), all.size()));
	}

}
