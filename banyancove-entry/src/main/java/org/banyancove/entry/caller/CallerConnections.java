package org.banyancove.entry.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.banyancove.core.entry.AnswerPart;
import org.banyancove.core.entry.SubscriberId;

/**
 * The connections of the callers that wait for an answer of this entry. Thread-safe.
 */
public final class CallerConnections {

	private final Map<SubscriberId, CallerConnection> connections = new ConcurrentHashMap<>();

	private final AtomicLong lastId = new AtomicLong();

	/**
	 * Delivers a part of an answer to a caller; ignored if the connection is closed.
	 * @param subscriber the caller's connection
	 * @param part the part
	 */
	public void deliver(SubscriberId subscriber, AnswerPart part) {
		CallerConnection connection = this.connections.get(subscriber);
		if (connection != null) {
			connection.deliver(part);
		}
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int size() {
		return this.connections.size();
	}

	CallerConnection open() {
		CallerConnection connection = new CallerConnection(new SubscriberId(this.lastId.incrementAndGet()));
		this.connections.put(connection.id(), connection);
		return connection;
	}

	void close(CallerConnection connection) {
		this.connections.remove(connection.id());
	}

}
