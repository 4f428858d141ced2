package org.banyancove.experiment;

import java.util.List;

import org.banyancove.core.RequestId;
import org.banyancove.core.routing.PromptPrefix;

/**
 * An attempt at an endpoint.
 */
final class Job {

	private final RequestId request;

	private final List<PromptPrefix> prefixes;

	private final int promptTokens;

	private final int outputTokens;

	private final double serviceSeconds;

	private final Listener listener;

	private double endAt;

	private boolean ended;

	Job(RequestId request, List<PromptPrefix> prefixes, int promptTokens, int outputTokens, double serviceSeconds,
			Listener listener) {
		this.request = request;
		this.prefixes = prefixes;
		this.promptTokens = promptTokens;
		this.outputTokens = outputTokens;
		this.serviceSeconds = serviceSeconds;
		this.listener = listener;
	}

	RequestId request() {
		return this.request;
	}

	List<PromptPrefix> prefixes() {
		return this.prefixes;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int outputTokens() {
		return this.outputTokens;
	}

	double serviceSeconds() {
		return this.serviceSeconds;
	}

	Listener listener() {
		return this.listener;
	}

	long kvTokens() {
		return (long) this.promptTokens + this.outputTokens;
	}

	double endAt() {
		return this.endAt;
	}

	void endAt(double virtualTime) {
		this.endAt = virtualTime;
	}

	boolean isEnded() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

	/**
	 * Receives the events of an attempt.
	 */
	interface Listener {

		/**
		 * Called when the prompt has been prefilled and the first token is sent.
		 * @param computedTokens the tokens of the prompt that were not in the cache
		 */
		void firstToken(int computedTokens);

		/**
		 * Called when the answer is complete.
		 */
		void completed();

		/**
		 * Called when the endpoint refuses the attempt because its queue is full.
		 */
		void refused();

		/**
		 * Called when the endpoint answers with an error.
		 */
		void failed();

		/**
		 * Called when the attempt is lost because the endpoint is not running.
		 */
		void lost();

	}

}
