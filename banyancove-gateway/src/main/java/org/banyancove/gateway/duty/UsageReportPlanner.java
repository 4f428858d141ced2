package org.banyancove.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Decides which usage windows are reported, and retains the reports already recorded.
 * <p>
 * A report becomes final when its window ended long enough ago for every gateway to have
 * reported its counts. It is recorded with the lease before it is sent, so that a
 * successor sends identical counts.
 */
public final class UsageReportPlanner {

	/**
	 * Delay from the end of a window until its counts are final: several times the
	 * interval of the gateways' reports.
	 */
	private static final Duration SETTLING_DELAY = Duration.ofSeconds(2);

	/** Reports in a lease record: older ones are past their due time. */
	private static final int MAXIMUM_REPORTS = 4;

	private final UsageCounter windows;

	private final long firstWindow;

	/**
	 * Creates a planner.
	 * @param windows the counter that numbers the windows
	 * @param start the time at which this process started; it has no counts of earlier
	 * windows
	 */
	public UsageReportPlanner(UsageCounter windows, Instant start) {
		this.windows = windows;
		this.firstWindow = windows.windowOf(start);
	}

	/**
	 * Returns the reports to include in the next lease record.
	 * @param recorded the reports in the newest lease record
	 * @param now the current wall-clock time
	 * @param reportOfWindow returns the report of a window by its number
	 * @return the reports, the oldest first
	 */
	public List<UsageReport> reportsToRecord(List<UsageReport> recorded, Instant now,
			LongFunction<UsageReport> reportOfWindow) {
		long lastFinal = this.windows.windowOf(now.minus(SETTLING_DELAY)) - 1;
		long next = recorded.isEmpty() ? this.firstWindow : recorded.getLast().window() + 1;
		next = Math.max(next, lastFinal - MAXIMUM_REPORTS + 1);
		List<UsageReport> all = new ArrayList<>(recorded);
		for (long window = next; window <= lastFinal; window++) {
			all.add(reportOfWindow.apply(window));
		}
		return List.copyOf(all.subList(Math.max(0, all.size() - MAXIMUM_REPORTS), all.size()));
	}

}
