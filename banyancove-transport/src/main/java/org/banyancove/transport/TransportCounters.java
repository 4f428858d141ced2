package org.banyancove.transport;

import java.util.concurrent.atomic.LongAdder;

/**
 * The counters of the transport, for metrics and tests. Thread-safe.
 */
public final class TransportCounters {

	private final LongAdder sent = new LongAdder();

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder received = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private final LongAdder dropped = new LongAdder();

	private final LongAdder connections = new LongAdder();

	private final LongAdder timedOut = new LongAdder();

	private final LongAdder malformed = new LongAdder();

	TransportCounters() {
	}

	/**
	 * Returns the number of messages written, without keep-alives.
	 * @return the number of messages
	 */
	public long sent() {
		return this.sent.sum();
	}

	/**
	 * Returns the number of bytes written, with keep-alives and length fields.
	 * @return the number of bytes
	 */
	public long sentBytes() {
		return this.sentBytes.sum();
	}

	/**
	 * Returns the number of messages read, without keep-alives.
	 * @return the number of messages
	 */
	public long received() {
		return this.received.sum();
	}

	/**
	 * Returns the number of bytes read, with keep-alives and length fields.
	 * @return the number of bytes
	 */
	public long receivedBytes() {
		return this.receivedBytes.sum();
	}

	/**
	 * Returns the number of messages dropped because their peer's queue was full, they
	 * were too large, the transport was closed, or the write failed.
	 * @return the number of messages
	 */
	public long dropped() {
		return this.dropped.sum();
	}

	/**
	 * Returns the number of connections opened to peers.
	 * @return the number of connections
	 */
	public long connections() {
		return this.connections.sum();
	}

	/**
	 * Returns the number of connections closed after the silence timeout.
	 * @return the number of connections
	 */
	public long timedOut() {
		return this.timedOut.sum();
	}

	/**
	 * Returns the number of connections closed after a malformed message.
	 * @return the number of connections
	 */
	public long malformed() {
		return this.malformed.sum();
	}

	void countSent(boolean message, int bytes) {
		this.sentBytes.add(bytes);
		if (message) {
			this.sent.increment();
		}
	}

	void countReceived(boolean message, int bytes) {
		this.receivedBytes.add(bytes);
		if (message) {
			this.received.increment();
		}
	}

	void countDropped() {
		this.dropped.increment();
	}

	void countConnection() {
		this.connections.increment();
	}

	void countTimedOut() {
		this.timedOut.increment();
	}

	void countMalformed() {
		this.malformed.increment();
	}

}
