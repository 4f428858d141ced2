package org.banyancove.core.entry;

import java.util.EnumMap;
import java.util.Map;

import org.banyancove.core.error.ErrorKind;

/**
 * The counters of an entry since its start, for metrics and status.
 */
public final class EntryCounters {

	private final Map<ErrorKind, Long> failures = new EnumMap<>(ErrorKind.class);

	private long receivedRequests;

	private long answeredRequests;

	private long attempts;

	private long retries;

	private long recomputedTokens;

	private long generatedTokens;

	/**
	 * Returns the number of received requests.
	 * @return the number of requests
	 */
	public long receivedRequests() {
		return this.receivedRequests;
	}

	/**
	 * Returns the number of requests that were answered completely.
	 * @return the number of requests
	 */
	public long answeredRequests() {
		return this.answeredRequests;
	}

	/**
	 * Returns the number of attempts at endpoints.
	 * @return the number of attempts
	 */
	public long attempts() {
		return this.attempts;
	}

	/**
	 * Returns the number of attempts after the first one of a request.
	 * @return the number of retries
	 */
	public long retries() {
		return this.retries;
	}

	/**
	 * Returns the number of recomputed tokens as reported by the engines.
	 * {@link org.banyancove.core.stream.StreamCounters} counts the expected number.
	 * @return the number of tokens
	 */
	public long recomputedTokens() {
		return this.recomputedTokens;
	}

	/**
	 * Returns the number of tokens delivered to callers.
	 * @return the number of tokens
	 */
	public long generatedTokens() {
		return this.generatedTokens;
	}

	/**
	 * Returns the number of failed requests by kind of error.
	 * @return an immutable copy
	 */
	public Map<ErrorKind, Long> failures() {
		return Map.copyOf(this.failures);
	}

	void countArrival() {
		this.receivedRequests++;
	}

	void countFailure(ErrorKind kind) {
		this.failures.merge(kind, 1L, Long::sum);
	}

	void countEnd(AnswerPart last) {
		if (last instanceof AnswerPart.Failure failure) {
			countFailure(failure.kind());
			return;
		}
		this.answeredRequests++;
	}

	void countAttempt(int number) {
		this.attempts++;
		if (number > 1) {
			this.retries++;
		}
	}

	void countRecomputed(long tokens) {
		this.recomputedTokens += tokens;
	}

	void countGenerated(long tokens) {
		this.generatedTokens += tokens;
	}

}
