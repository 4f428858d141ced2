package org.banyancove.gateway.endpoint;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The time in which one process of an endpoint is known to have run.
 * <p>
 * An endpoint may start again under its identifier and answer before its new entry is
 * read. An answer therefore shows only that the process has run since the answer's
 * connection was established, or since shortly before.
 */
public final class ProcessLife {

	/** No process serves connections sooner after its predecessor has ended. */
	private static final Duration MINIMUM_RESTART_TIME = Duration.ofMillis(250);

	private @Nullable Long from;

	private long until;

	/**
	 * Records that the endpoint began to answer a request.
	 * @param connectedAt when the connection was established
	 * @param sentAt when the request was sent
	 */
	public void answered(long connectedAt, long sentAt) {
		long runningSince = connectedAt - MINIMUM_RESTART_TIME.toNanos();
		if (this.from == null || runningSince > this.until) {
			this.from = runningSince;
			this.until = sentAt;
		}
		else if (sentAt >= this.from) {
			this.from = Math.min(this.from, runningSince);
			this.until = Math.max(this.until, sentAt);
		}
	}

	/**
	 * Returns whether a process that ran before a time still ran after it.
	 * @param time the time
	 * @return {@code false} if nothing shows that it did not end then
	 */
	public boolean includes(long time) {
		return this.from != null && this.from < time && time < this.until;
	}

	void clear() {
		this.from = null;
	}

}
