package org.banyancove.gateway.waiting;

import java.util.NavigableSet;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one priority, by account.
 */
final class PriorityLevel {

	private final NavigableSet<AccountQueue> queues = new TreeSet<>(AccountQueue.LEAST_SERVED);

	void add(AccountQueue queue) {
		this.queues.add(queue);
	}

	void remove(AccountQueue queue) {
		this.queues.remove(queue);
	}

	boolean isEmpty() {
		return this.queues.isEmpty();
	}

	double leastServed() {
		return this.queues.first().account().served();
	}

	@Nullable WaitingRequest first(long now) {
		for (AccountQueue queue : this.queues) {
			WaitingRequest first = queue.first(now);
			if (first != null) {
				return first;
			}
		}
		return null;
	}

	double workMillis() {
		double sum = 0;
		for (AccountQueue queue : this.queues) {
			sum += queue.workMillis();
		}
		return sum;
	}

	/**
	 * Returns the work of other accounts that is started before an account has been
	 * served a total.
	 * @param account the account, or {@code null} if it has no waiting requests
	 * @param served the total, in seconds of its quota
	 * @return the work in ms
	 */
	double workUntilServed(@Nullable ServedAccount account, double served) {
		double sum = 0;
		for (AccountQueue queue : this.queues) {
			if (queue.account() != account) {
				sum += queue.workUntilServed(served);
			}
		}
		return sum;
	}

}
