package org.banyancove.program;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.banyancove.core.Invariant;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TickLoopTests {

	private final List<String> handled = new ArrayList<>();

	private final Failures failures = new Failures();

	// Guards against a failing event that terminates the thread that all requests share.
	// An event with a bug and one that violates an invariant are counted and logged, and
	// the event after them runs.
	@Test
	void aFailingEventDoesNotTerminateTheLoop() {
		try (TickLoop loop = new TickLoop("test-loop", this.failures)) {
			loop.post(() -> {
				throw new IllegalStateException("a fault");
			});
			loop.post(() -> Invariant.check(false, "broken"));
			loop.post(() -> this.handled.add("next"));
			assertThat(loop.read(() -> List.copyOf(this.handled))).containsExactly("next");
			assertThat(loop.read(() -> this.failures.failed)).isEqualTo(1);
			assertThat(loop.read(() -> this.failures.violated)).isEqualTo(1);
		}
	}

	// Guards against a failing tick that cancels the periodic tick, on which leases and
	// timers depend.
	@Test
	void aFailingTickIsRepeated() throws InterruptedException {
		CountDownLatch ticks = new CountDownLatch(3);
		try (TickLoop loop = new TickLoop("test-loop", this.failures)) {
			loop.start(Duration.ofMillis(1), () -> {
				ticks.countDown();
				throw new IllegalStateException("a fault");
			});
			ticks.await();
		}
		assertThat(ticks.getCount()).isZero();
	}

	private static final class Failures implements TickLoop.FailureListener {

		private int violated;

		private int failed;

		@Override
		public void invariantViolated() {
			this.violated++;
		}

		@Override
		public void eventFailed() {
			this.failed++;
		}

	}

}
