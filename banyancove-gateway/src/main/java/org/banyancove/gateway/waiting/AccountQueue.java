package org.banyancove.gateway.waiting;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one account and priority, by latest start.
 */
final class AccountQueue {

	/** Orders the queues of a priority: the account that was served least comes first. */
	static final Comparator<AccountQueue> LEAST_SERVED = Comparator
		.comparingDouble((AccountQueue queue) -> queue.account.served())
		.thenComparingLong((queue) -> queue.account.sequence());

	private final ServedAccount account;

	private final NavigableSet<WaitingEntry> entries = new TreeSet<>(WaitingEntry.EARLIEST_LATEST_START);

	private double workMillis;

	private double quotaSeconds;

	AccountQueue(ServedAccount account) {
		this.account = account;
	}

	ServedAccount account() {
		return this.account;
	}

	boolean isEmpty() {
		return this.entries.isEmpty();
	}

	double workMillis() {
		return this.workMillis;
	}

	void add(WaitingEntry entry) {
		this.entries.add(entry);
		this.workMillis += entry.request().workMillis();
		this.quotaSeconds += entry.request().quotaSeconds();
	}

	void remove(WaitingEntry entry) {
		this.entries.remove(entry);
		this.workMillis = this.entries.isEmpty() ? 0 : this.workMillis - entry.request().workMillis();
		this.quotaSeconds = this.entries.isEmpty() ? 0 : this.quotaSeconds - entry.request().quotaSeconds();
	}

	@Nullable WaitingRequest first(long now) {
		for (WaitingEntry entry : this.entries) {
			if (!entry.request().expired(now)) {
				return entry.request();
			}
		}
		return null;
	}

	/**
	 * Returns the work of the requests that start no later than another one.
	 * @param latestStartAt the latest start of the other one
	 * @return the work in ms
	 */
	double workUntil(long latestStartAt) {
		double sum = 0;
		for (WaitingEntry entry : this.entries) {
			if (entry.request().latestStartAt() - latestStartAt > 0) {
				break;
			}
			sum += entry.request().workMillis();
		}
		return sum;
	}

	/**
	 * Returns the cost of the requests that start no later than another one.
	 * @param latestStartAt the latest start of the other one
	 * @return the cost in seconds of the account's quota
	 */
	double quotaSecondsUntil(long latestStartAt) {
		double sum = 0;
		for (WaitingEntry entry : this.entries) {
			if (entry.request().latestStartAt() - latestStartAt > 0) {
				break;
			}
			sum += entry.request().quotaSeconds();
		}
		return sum;
	}

	/**
	 * Returns the work that is started before the account has been served a total.
	 * @param served the total, in seconds of its quota
	 * @return the work in ms, estimated as a part of all work of this queue
	 */
	double workUntilServed(double served) {
		double remaining = served - this.account.served();
		if (remaining < 0) {
			return 0;
		}
		return (remaining < this.quotaSeconds) ? this.workMillis * remaining / this.quotaSeconds : this.workMillis;
	}

}
