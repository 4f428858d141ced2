package org.banyancove.gateway.endpoint;

/**
 * The load that an endpoint reported last, which decays with time.
 * <p>
 * Times are nanoseconds of the monotonic clock. Confined to the event loop thread.
 */
final class ReportedLoad {

	/**
	 * Time constant of the decay, in ns: about the duration of a request.
	 */
	private static final double DECAY_NANOS = 2e9;

	private double unattributed;

	private double queued;

	private long reportedAt = Long.MIN_VALUE;

	/**
	 * Records a report.
	 * @param report the report
	 * @param attributed the requests in flight there that the gateways know of
	 * @param now the current time
	 */
	void update(LoadReport report, int attributed, long now) {
		this.unattributed = Math.max(0, report.running() + report.waiting() - attributed);
		this.queued = report.waiting();
		this.reportedAt = now;
	}

	/**
	 * Returns the requests at the endpoint that no gateway knows of.
	 * @param now the current time
	 * @return the estimated number of requests
	 */
	double unattributed(long now) {
		return this.unattributed * weight(now);
	}

	/**
	 * Returns the requests that are queued at the endpoint.
	 * @param now the current time
	 * @return the estimated number of requests
	 */
	double queued(long now) {
		return this.queued * weight(now);
	}

	private double weight(long now) {
		return (this.reportedAt == Long.MIN_VALUE) ? 0 : Math.exp((this.reportedAt - now) / DECAY_NANOS);
	}

}
