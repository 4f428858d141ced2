package org.banyancove.distribution;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * Waits for an expected state. The timeout states no performance requirement; it only
 * ends a test whose expected state is never reached.
 */
final class Await {

	static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

	private Await() {
	}

	static void until(String description, BooleanSupplier condition) {
		long deadline = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadline > 0) {
				throw new AssertionError("Timed out waiting for: " + description);
			}
			pause(POLL_INTERVAL);
		}
	}

	// Allows time for an incorrect implementation to perform an action that the
	// test rules out.
	static void pause(Duration duration) {
		try {
			Thread.sleep(duration);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

}
