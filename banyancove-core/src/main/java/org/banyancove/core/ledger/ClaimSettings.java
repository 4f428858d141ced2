package org.banyancove.core.ledger;

import java.time.Duration;

/**
 * Settings of a {@link ClaimSystem}.
 *
 * @param slots the number of slots, the same in every process that shares the log
 * @param batchWindow how long a record is delayed for batching
 * @param appendTimeout the timeout from the submission of a request until its intent is
 * read back
 * @param keyWindow how long a key is retained, measured by the log's record times
 * @param answerWindow how long an answer is kept for repeats after the end of its call,
 * measured by the log's record times; for the rest of the key window a repeat receives
 * the outcome and status only. Processes may use different values, since the answer does
 * not determine which process may run a call
 * @param retention the guaranteed retention time of a record on the log
 * @param outcomeWait how long after its intent a call may still be running; afterwards
 * its claimant is considered failed and repeats are refused immediately with an unknown
 * outcome
 * @param retryAfter the mean retry delay of callers
 * @param appendsPerSecond the maximum rate of appends of this process across all slots;
 * under load, the batch size grows instead of the rate
 * @param appendsInFlight the maximum number of concurrent appends per slot
 * @param recordsPerAppend the maximum number of records per append
 * @param requests the maximum number of waiting requests
 * @param storedBodyBytes the maximum size of an answer body stored on the log, in bytes
 */
public record ClaimSettings(int slots, Duration batchWindow, Duration appendTimeout, Duration keyWindow,
		Duration answerWindow, Duration retention, Duration outcomeWait, Duration retryAfter, double appendsPerSecond,
		int appendsInFlight, int recordsPerAppend, int requests, int storedBodyBytes) {

	/** Default time for which answers are kept. */
	public static final Duration DEFAULT_ANSWER_WINDOW = Duration.ofMinutes(10);

	private static final int CHECKPOINTS_PER_RETENTION = 6;

	private static final int MAXIMUM_WAITS_PER_KEY_WINDOW = 4;

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public ClaimSettings {
		check(slots > 0, "slots must be positive", slots);
		check(!batchWindow.isNegative(), "batchWindow must not be negative", batchWindow);
		check(appendTimeout.compareTo(batchWindow) > 0, "appendTimeout must be above batchWindow", appendTimeout);
		check(keyWindow.compareTo(appendTimeout.multipliedBy(MAXIMUM_WAITS_PER_KEY_WINDOW)) > 0,
				"keyWindow must be above " + MAXIMUM_WAITS_PER_KEY_WINDOW + " times appendTimeout", keyWindow);
		check(!answerWindow.isNegative(), "answerWindow must not be negative", answerWindow);
		check(retention.isPositive(), "retention must be positive", retention);
		check(outcomeWait.isPositive(), "outcomeWait must be positive", outcomeWait);
		check(retryAfter.isPositive(), "retryAfter must be positive", retryAfter);
		check(appendsPerSecond > 0, "appendsPerSecond must be positive", appendsPerSecond);
		check(appendsInFlight > 0, "appendsInFlight must be positive", appendsInFlight);
		check(recordsPerAppend > 0, "recordsPerAppend must be positive", recordsPerAppend);
		check(requests > 0, "requests must be positive", requests);
		check(storedBodyBytes >= 0, "storedBodyBytes must not be negative", storedBodyBytes);
	}

	/**
	 * Returns the default settings.
	 * @return the default settings
	 */
	public static ClaimSettings defaults() {
		return new ClaimSettings(KeySlot.DEFAULT_COUNT, Duration.ofMillis(20), Duration.ofSeconds(2),
				Duration.ofHours(24), DEFAULT_ANSWER_WINDOW, Duration.ofDays(7), Duration.ofMinutes(2),
				Duration.ofSeconds(2), 30, 2, 2000, 20_000, 8192);
	}

	/**
	 * Returns these settings with another answer window.
	 * @param value how long an answer is kept after the end of its call
	 * @return the settings
	 */
	public ClaimSettings withAnswerWindow(Duration value) {
		return new ClaimSettings(this.slots, this.batchWindow, this.appendTimeout, this.keyWindow, value,
				this.retention, this.outcomeWait, this.retryAfter, this.appendsPerSecond, this.appendsInFlight,
				this.recordsPerAppend, this.requests, this.storedBodyBytes);
	}

	/**
	 * Returns the interval between checkpoints, which allows for several attempts before
	 * retention trims the records that precede the last checkpoint.
	 * @return the interval between checkpoints
	 */
	public Duration checkpointInterval() {
		return this.retention.dividedBy(CHECKPOINTS_PER_RETENTION);
	}

	/**
	 * Returns the maximum wait of a request. A request that waits beyond the key window
	 * could find its own key unclaimed after the call has run.
	 * @return the maximum wait
	 */
	public Duration maximumWait() {
		return this.keyWindow.dividedBy(MAXIMUM_WAITS_PER_KEY_WINDOW);
	}

	/**
	 * Returns whether a record trimmed by retention can no longer affect any key.
	 * @return {@code true} if records are retained at least as long as keys
	 */
	public boolean retentionCoversKeys() {
		return this.retention.compareTo(this.keyWindow) >= 0;
	}

	private static void check(boolean valid, String rule, Object value) {
		if (!valid) {
			throw new IllegalArgumentException(rule + ": " + value);
		}
	}

}
