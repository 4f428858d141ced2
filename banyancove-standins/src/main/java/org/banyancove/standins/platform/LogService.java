package org.banyancove.standins.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.banyancove.standins.support.ConnectionDropException;
import org.banyancove.standins.support.Exchange;
import org.banyancove.standins.support.FaultSwitches;
import org.banyancove.standins.support.RateLimiter;
import org.jspecify.annotations.Nullable;

/**
 * The append-only log of the platform, with one stream for each name.
 */
final class LogService {

	private static final int DEFAULT_READ_LIMIT = 1000;

	private final PlatformOptions options;

	private final FaultSwitches<PlatformFault> faults;

	private final RateLimiter appendLimiter;

	private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

	LogService(PlatformOptions options, FaultSwitches<PlatformFault> faults) {
		this.options = options;
		this.faults = faults;
		this.appendLimiter = new RateLimiter(options.appendsPerSecond(), options.clock());
	}

	void serve(Exchange exchange) throws IOException, InterruptedException {
		Thread.sleep(this.faults.number(PlatformFault.LOG_SLOW_MILLIS));
		if (this.faults.tryTrigger(PlatformFault.LOG_OUTAGE)) {
			exchange.sendError(503, "The log is down", Duration.ofSeconds(1));
			return;
		}
		LogStream stream = this.streams.computeIfAbsent(exchange.segment(1),
				(name) -> new LogStream(this.options.retention(), this.options.clock()));
		switch (exchange.route().split(" ")[0]) {
			case "POST" -> append(exchange, stream);
			case "GET" -> read(exchange, stream);
			default -> exchange.sendError(405, "The log takes GET and POST");
		}
	}

	private void append(Exchange exchange, LogStream stream) throws IOException, InterruptedException {
		List<LogStream.NewRecord> records = exchange.json(AppendRequest.class).records();
		if (records == null || records.isEmpty()) {
			exchange.sendError(400, "An append needs records");
			return;
		}
		Duration retryAfter = this.appendLimiter.acquire();
		if (retryAfter.isPositive()) {
			exchange.sendError(429, "Too many appends", retryAfter);
			return;
		}
		if (this.faults.tryTrigger(PlatformFault.LATE_APPENDS)) {
			exchange.sendError(503, "The log is slow", Duration.ofSeconds(1));
			Thread.sleep(this.faults.number(PlatformFault.LATE_APPEND_MILLIS));
			stream.append(records);
			return;
		}
		LogStream.AppendAnswer response = stream.append(records);
		if (this.faults.tryTrigger(PlatformFault.LOSE_APPEND_ANSWERS)) {
			throw new ConnectionDropException("Fault LOSE_APPEND_ANSWERS: connection closed after the append");
		}
		if (this.faults.tryTrigger(PlatformFault.HANG_APPEND_ANSWERS)) {
			exchange.hangUntilStopped();
		}
		exchange.send(200, response);
	}

	private void read(Exchange exchange, LogStream stream) throws IOException, InterruptedException {
		long from = exchange.query("from", 0);
		int limit = Math.toIntExact(exchange.query("limit", DEFAULT_READ_LIMIT));
		Duration wait = Duration.ofMillis(exchange.query("waitMillis", 0));
		exchange.send(200, stream.read(from, limit, wait));
	}

	private record AppendRequest(@Nullable List<LogStream.NewRecord> records) {
	}

}
