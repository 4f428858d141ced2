package org.banyancove.standins.engine;

/**
 * A generation in progress, whose tokens any number of connections can read from any
 * offset. This class is thread-safe.
 */
final class Generation {

	private final String requestId;

	private final ChatRequest request;

	private final TokenText text;

	private final int firstOffset;

	private final int endOffset;

	private final Usage usage;

	private int available;

	private Ending ending;

	Generation(String requestId, ChatRequest request, int endOffset, Usage usage) {
		ChatRequest.Resume resume = request.resume();
		this.requestId = requestId;
		this.request = request;
		this.text = new TokenText(request.model(), request.messages());
		this.firstOffset = (resume != null) ? resume.offset() : 0;
		this.endOffset = endOffset;
		this.usage = usage;
		this.available = this.firstOffset;
		this.ending = (this.firstOffset < endOffset) ? Ending.NONE : Ending.COMPLETE;
	}

	String requestId() {
		return this.requestId;
	}

	ChatRequest request() {
		return this.request;
	}

	TokenText text() {
		return this.text;
	}

	int firstOffset() {
		return this.firstOffset;
	}

	int endOffset() {
		return this.endOffset;
	}

	Usage usage() {
		return this.usage;
	}

	synchronized int available() {
		return this.available;
	}

	synchronized boolean isRunning() {
		return this.ending == Ending.NONE;
	}

	synchronized boolean isComplete() {
		return this.ending == Ending.COMPLETE;
	}

	/**
	 * Adds the next token, unless the generation was cancelled.
	 */
	synchronized void advance() {
		if (this.ending != Ending.NONE) {
			return;
		}
		this.available++;
		if (this.available >= this.endOffset) {
			this.ending = Ending.COMPLETE;
		}
		notifyAll();
	}

	synchronized void cancel() {
		if (this.ending == Ending.NONE) {
			this.ending = Ending.CANCELLED;
			notifyAll();
		}
	}

	/**
	 * Waits until the token at an offset is available or the generation has ended.
	 * @param offset the offset
	 * @return whether the token is available
	 */
	synchronized boolean await(int offset) throws InterruptedException {
		while (this.available <= offset && this.ending == Ending.NONE) {
			wait();
		}
		return this.available > offset;
	}

	private enum Ending {

		NONE, COMPLETE, CANCELLED

	}

	/**
	 * The token usage of a response.
	 *
	 * @param promptTokens the prompt's tokens
	 * @param completionTokens the tokens of the complete response
	 * @param totalTokens the sum of prompt and completion tokens
	 * @param cachedTokens the prompt tokens that were in the prefix cache or imported
	 * @param recomputedTokens the tokens that an earlier attempt had already computed
	 */
	record Usage(int promptTokens, int completionTokens, int totalTokens, int cachedTokens, int recomputedTokens) {
	}

}
