package org.banyancove.standins.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

/**
 * One run of a load. Each request is sent to the system and directly to the stand-in, in
 * random order, so that both sides are measured under the same machine conditions.
 */
public final class LoadRun implements AutoCloseable {

	private static final double NANOS_PER_SECOND = 1e9;

	private final LoadOptions options;

	private final LoadPlan plan;

	private final LoadCaller targetCaller;

	private final @Nullable LoadCaller directCaller;

	private final SideStatistics target = new SideStatistics("target");

	private final SideStatistics direct = new SideStatistics("direct");

	private final AtomicLong measurementStart = new AtomicLong();

	/**
	 * Creates the run.
	 * @param options the options
	 */
	public LoadRun(LoadOptions options) {
		this.options = options;
		this.plan = new LoadPlan(options);
		this.targetCaller = new LoadCaller(options, options.target(), true);
		this.directCaller = (options.direct() != null) ? new LoadCaller(options, options.direct(), false) : null;
	}

	/**
	 * Sends all requests and waits for their completion.
	 * @return the report
	 * @throws InterruptedException if the thread is interrupted
	 */
	public LoadReport run() throws InterruptedException {
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			if (this.options.volume().perSecond() > 0) {
				sendAtRate(executor);
			}
			else {
				sendInClosedLoops(executor);
			}
		}
		Duration elapsed = Duration.ofNanos(System.nanoTime() - this.measurementStart.get());
		List<LoadReport.Line> lines = new ArrayList<>(this.target.lines(elapsed));
		lines.addAll(this.direct.lines(elapsed));
		return new LoadReport(this.options.seed(), this.options.volume().concurrency(),
				this.options.volume().perSecond(), elapsed.toNanos() / NANOS_PER_SECOND, lines);
	}

	@Override
	public void close() {
		this.targetCaller.close();
		if (this.directCaller != null) {
			this.directCaller.close();
		}
	}

	private void sendInClosedLoops(ExecutorService executor) {
		for (int loop = 0; loop < this.options.volume().concurrency(); loop++) {
			executor.execute(() -> {
				for (PlannedRequest next = this.plan.next(); next != null; next = this.plan.next()) {
					sendToBothSides(next, null);
				}
			});
		}
	}

	private void sendAtRate(ExecutorService executor) throws InterruptedException {
		Semaphore permits = new Semaphore(this.options.volume().concurrency());
		long startNanos = System.nanoTime();
		for (PlannedRequest next = this.plan.next(); next != null; next = this.plan.next()) {
			PlannedRequest request = next;
			long due = startNanos + (long) (request.index() / this.options.volume().perSecond() * NANOS_PER_SECOND);
			TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
			permits.acquire();
			executor.execute(() -> {
				sendToBothSides(request, due);
				permits.release();
			});
		}
	}

	private void sendToBothSides(PlannedRequest request, @Nullable Long due) {
		LoadCaller direct = this.directCaller;
		try {
			if (direct == null) {
				send(this.targetCaller, this.target, request, due);
			}
			else if (request.directFirst()) {
				send(direct, this.direct, request, due);
				send(this.targetCaller, this.target, request, null);
			}
			else {
				send(this.targetCaller, this.target, request, due);
				send(direct, this.direct, request, null);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void send(LoadCaller caller, SideStatistics statistics, PlannedRequest request, @Nullable Long due)
			throws InterruptedException {
		boolean measured = request.index() >= this.options.volume().warmUp();
		if (measured) {
			this.measurementStart.compareAndSet(0, System.nanoTime());
		}
		CallResult result = caller.call(request, (due != null) ? due : System.nanoTime());
		if (measured) {
			statistics.record(request.kind(), result);
		}
	}

}
