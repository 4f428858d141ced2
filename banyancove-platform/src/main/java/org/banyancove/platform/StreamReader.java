package org.banyancove.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads one stream of the log page by page, with long polling for new records and a delay
 * after a failed read.
 */
public final class StreamReader {

	private static final Logger logger = LoggerFactory.getLogger(StreamReader.class);

	private static final int PAGE_LIMIT = 1000;

	private static final Duration RETRY_DELAY = Duration.ofMillis(250);

	private final LogClient log;

	private final String stream;

	private final Duration wait;

	private final ScheduledExecutorService timer;

	private final Consumer<LogPage> pages;

	private final Consumer<Throwable> failures;

	private long nextOffset;

	private volatile boolean stopped;

	/**
	 * Creates the reader.
	 * @param log the log
	 * @param stream the stream's name
	 * @param wait the maximum time that a read waits at the log for new records
	 * @param timer schedules retries; the reader stops when it is shut down
	 * @param pages receives each page, in order, on one thread at a time
	 * @param failures receives the failure of each failed read
	 */
	public StreamReader(LogClient log, String stream, Duration wait, ScheduledExecutorService timer,
			Consumer<LogPage> pages, Consumer<Throwable> failures) {
		this.log = log;
		this.stream = stream;
		this.wait = wait;
		this.timer = timer;
		this.pages = pages;
		this.failures = failures;
	}

	/**
	 * Starts to read at the first offset that the log retains.
	 */
	public void start() {
		start(0);
	}

	/**
	 * Starts to read.
	 * @param fromOffset the offset of the first record to read; records that the log has
	 * trimmed are skipped
	 */
	public void start(long fromOffset) {
		this.nextOffset = fromOffset;
		readNext();
	}

	/**
	 * Stops reading. The page of a read in progress is still delivered.
	 */
	public void stop() {
		this.stopped = true;
	}

	private void readNext() {
		if (this.stopped) {
			return;
		}
		CompletableFuture<LogPage> page = this.log.read(this.stream, this.nextOffset, PAGE_LIMIT, this.wait);
		page.whenComplete(this::onResponse);
	}

	private void onResponse(LogPage page, Throwable failure) {
		if (this.timer.isShutdown()) {
			return;
		}
		if (failure != null) {
			logger.debug("Failed to read stream {}", this.stream, failure);
			this.failures.accept(failure);
			this.timer.schedule(this::readNext, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
			return;
		}
		this.pages.accept(page);
		this.nextOffset = page.records().isEmpty() ? Math.max(this.nextOffset, page.firstRetained())
				: page.records().getLast().offset() + 1;
		readNext();
	}

}
