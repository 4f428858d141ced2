package org.banyancove.gateway.waiting;

import java.util.Arrays;
import java.util.Locale;

import org.banyancove.core.AccountName;
import org.banyancove.gateway.admission.RetryAfterRule;

/**
 * Measures the time of a decision about a request that waits, from its offer to its
 * start, beside 1,000 others. Run by hand.
 */
final class WaitingQueueMeasurement {

	private static final int WAITING = 1000;

	private static final int DECISIONS = 200_000;

	private WaitingQueueMeasurement() {
	}

	/**
	 * Prints the median and the 99th percentile for 1, 16 and 500 accounts.
	 * @param arguments not used
	 */
	static void main(String[] arguments) {
		for (int accounts : new int[] { 1, 16, 500 }) {
			measure(accounts);
			long[] nanos = measure(accounts);
			System.out.printf(Locale.ROOT, "%d accounts: median %.1f us, 99th percentile %.1f us%n", accounts,
					nanos[DECISIONS / 2] / 1e3, nanos[DECISIONS / 100 * 99] / 1e3);
		}
	}

	private static long[] measure(int accounts) {
		WaitingQueue queue = new WaitingQueue(new WaitingCapacity(), new RetryAfterRule());
		for (int i = 0; i < WAITING; i++) {
			queue.offer(request(i, accounts), 0, 0);
		}
		long[] nanos = new long[DECISIONS];
		for (int i = 0; i < DECISIONS; i++) {
			WaitingRequest request = request(i, accounts);
			long start = System.nanoTime();
			queue.offer(request, 1e6, 0);
			queue.removeExpired(0);
			WaitingRequest first = queue.peek(0);
			if (first != null) {
				queue.started(first);
			}
			nanos[i] = System.nanoTime() - start;
		}
		Arrays.sort(nanos);
		return nanos;
	}

	private static WaitingRequest request(int number, int accounts) {
		return new WaitingRequest("id", 0, new AccountName("account" + number % accounts), 1, 100, 1000, 0,
				1_000_000_000_000L + number * 7919L % 100_000);
	}

}
