package org.banyancove.gateway.waiting;

import java.util.HashMap;
import java.util.Map;

/**
 * An account with what it has been served and its waiting requests.
 */
final class ServedAccount {

	private final long sequence;

	private final Map<Integer, AccountQueue> queues = new HashMap<>();

	private double served;

	/**
	 * Creates an account without waiting requests.
	 * @param sequence orders accounts that were served equally
	 */
	ServedAccount(long sequence) {
		this.sequence = sequence;
	}

	long sequence() {
		return this.sequence;
	}

	/**
	 * Returns what the account has been served, in seconds of its quota. It must not
	 * change while a queue of the account is in a sorted set.
	 * @return the seconds
	 */
	double served() {
		return this.served;
	}

	void addServed(double quotaSeconds) {
		this.served += quotaSeconds;
	}

	void lift(double minimum) {
		this.served = Math.max(this.served, minimum);
	}

	boolean waits() {
		return !this.queues.isEmpty();
	}

	/**
	 * Returns the waiting requests by priority.
	 * @return the queues that are not empty
	 */
	Map<Integer, AccountQueue> queues() {
		return this.queues;
	}

}
