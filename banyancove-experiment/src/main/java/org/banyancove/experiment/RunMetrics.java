package org.banyancove.experiment;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import org.HdrHistogram.Histogram;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.routing.PromptPrefix;

/**
 * Collects the metrics of a run.
 */
final class RunMetrics {

	private static final double SECONDS_PER_HOUR = 3600;

	private static final double THOUSAND = 1000;

	private static final double MICROS_PER_SECOND = 1e6;

	private final Histogram firstToken = new Histogram(3);

	private final Histogram refusal = new Histogram(3);

	private int offered;

	private int offeredSmall;

	private int admitted;

	private int met;

	private int lateFirst;

	private int slowTokens;

	private int refused;

	private int refusedSmall;

	private int failed;

	private int retries;

	private int moved;

	private int ordersOffered;

	private int ordersMet;

	private long recomputedTokens;

	private final Set<Long> computedPrefixes = new HashSet<>();

	void recordOffered(Arrival arrival) {
		if (!arrival.isModel()) {
			this.ordersOffered++;
			return;
		}
		this.offered++;
		this.offeredSmall += (arrival.isLargeAccount() ? 0 : 1);
	}

	void recordAdmitted(Arrival arrival) {
		this.admitted += (arrival.isModel() ? 1 : 0);
	}

	void recordRefused(Arrival arrival, double now) {
		if (arrival.isModel()) {
			this.refused++;
			this.refusedSmall += (arrival.isLargeAccount() ? 0 : 1);
			this.refusal.recordValue(Math.round((now - arrival.at()) * MICROS_PER_SECOND));
		}
	}

	void recordFailed(Arrival arrival) {
		this.failed += (arrival.isModel() ? 1 : 0);
	}

	void recordRetry(Arrival arrival) {
		this.retries += (arrival.isModel() ? 1 : 0);
	}

	void recordMove() {
		this.moved++;
	}

	void recordRecomputed(long tokens) {
		this.recomputedTokens += tokens;
	}

	/**
	 * Records that an engine computed a prefix.
	 * @param prefix the prefix
	 * @return whether an engine had computed it before
	 */
	boolean recordComputedPrefix(PromptPrefix prefix) {
		return !this.computedPrefixes.add(prefix.digest());
	}

	void recordCompleted(Arrival arrival, Profile profile, double firstTokenAt, double now) {
		double firstTokenSeconds = firstTokenAt - arrival.at();
		boolean firstInTime = firstTokenSeconds <= seconds(profile.firstTokenTarget());
		double secondsPerToken = ((arrival.outputTokens() > 0) ? (now - firstTokenAt) / arrival.outputTokens() : 0);
		boolean inTime = firstInTime && secondsPerToken <= seconds(profile.tokenTarget());
		if (!arrival.isModel()) {
			this.ordersMet += (inTime ? 1 : 0);
			return;
		}
		this.firstToken.recordValue(Math.round(firstTokenSeconds * MICROS_PER_SECOND));
		this.met += (inTime ? 1 : 0);
		this.lateFirst += (firstInTime ? 0 : 1);
		this.slowTokens += ((secondsPerToken > seconds(profile.tokenTarget())) ? 1 : 0);
	}

	RunResult result(RunSettings settings, Collection<SimulatedEndpoint> endpoints) {
		double busyCost = 0;
		double fleetCost = 0;
		for (SimulatedEndpoint endpoint : endpoints) {
			if (endpoint instanceof SimulatedEngine) {
				double price = endpoint.definition().pricePerHour() / SECONDS_PER_HOUR;
				busyCost += price * endpoint.busySeconds();
				fleetCost += price * settings.seconds();
			}
		}
		return new RunResult(settings.user().label(), settings.scenario().label(),
				settings.policy().name().toLowerCase(Locale.ROOT), settings.entries(), settings.seed(),
				settings.limits(), this.offered, ratio(this.met, this.offered), ratio(this.lateFirst, this.offered),
				ratio(this.slowTokens, this.offered), this.met / settings.seconds(),
				THOUSAND * busyCost / Math.max(1, this.met), THOUSAND * fleetCost / Math.max(1, this.met),
				this.recomputedTokens, millis(this.firstToken, 50), millis(this.firstToken, 99),
				ratio(this.refused, this.offered), ratio(this.refusedSmall, this.offeredSmall),
				millis(this.refusal, 50), this.failed, ratio(this.retries, this.admitted), this.moved,
				ratio(this.ordersMet, this.ordersOffered));
	}

	private static double ratio(int part, int total) {
		return ((total == 0) ? 0 : (double) part / total);
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / THOUSAND;
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / 1e9;
	}

}
