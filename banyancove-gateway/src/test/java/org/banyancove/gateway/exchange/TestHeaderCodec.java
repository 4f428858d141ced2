package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import org.banyancove.gateway.endpoint.LoadReport;
import org.banyancove.gateway.endpoint.Prompt;
import org.banyancove.gateway.endpoint.PromptPart;
import org.banyancove.gateway.shared.CallerHeaders;
import org.banyancove.gateway.shared.EndpointCall;
import org.banyancove.gateway.shared.EndpointHeaders;
import org.banyancove.gateway.shared.HeaderCodec;
import org.jspecify.annotations.Nullable;

/**
 * A header codec with short header names for tests.
 */
public final class TestHeaderCodec implements HeaderCodec {

	private final Duration requestCost;

	public TestHeaderCodec() {
		this(Duration.ZERO);
	}

	/**
	 * Creates the codec.
	 * @param requestCost the time for which each request keeps its event loop busy
	 */
	public TestHeaderCodec(Duration requestCost) {
		this.requestCost = requestCost;
	}

	@Override
	public CallerHeaders readCaller(HttpHeaders headers) {
		keepBusy();
		String deadline = headers.get("deadline-ms");
		return new CallerHeaders(headers.get("id"),
				(deadline != null) ? Duration.ofMillis(Long.parseLong(deadline)) : null, headers.get("key"),
				headers.get("last-event"),
				headers.contains("resumes") ? String.join(",", headers.getAll("resumes")) : null,
				prompt(headers.get("parts")));
	}

	private static Prompt prompt(@Nullable String parts) {
		return (parts != null) ? new Prompt(
				Arrays.stream(parts.split(",")).map((id) -> new PromptPart(Long.parseLong(id), 1)).toList(), 1, 1)
				: Prompt.NONE;
	}

	private static @Nullable LoadReport load(@Nullable String figures) {
		String[] figure = (figures != null) ? figures.split(",") : new String[0];
		return (figure.length == 4) ? new LoadReport(Integer.parseInt(figure[0]), Integer.parseInt(figure[1]),
				Integer.parseInt(figure[2]), Double.parseDouble(figure[3]) / 100) : null;
	}

	private void keepBusy() {
		try {
			TimeUnit.NANOSECONDS.sleep(this.requestCost.toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public boolean isForwarded(String name) {
		return !name.equals("key");
	}

	@Override
	public void writeCall(HttpHeaders headers, EndpointCall call) {
		headers.set("endpoint", call.endpoint().value());
		if (call.remaining() != null) {
			writeRemaining(headers, call.remaining());
		}
		if (call.lastEventId() != null) {
			headers.set("last-event", call.lastEventId());
		}
		if (call.continued() != null) {
			headers.set("continued", call.continued().source().getPort() + "/" + call.continued().handle());
		}
	}

	@Override
	public void writeRemaining(HttpHeaders headers, Duration remaining) {
		headers.set("deadline-ms", remaining.toMillis());
	}

	@Override
	public EndpointHeaders readEndpoint(HttpHeaders headers) {
		return new EndpointHeaders(headers.get("id"),
				Set.copyOf(headers.getAll("id")).size() > 1 || Set.copyOf(headers.getAll("seal")).size() > 1,
				headers.contains("seal"), headers.contains("not-run"), load(headers.get("load")),
				(load(headers.get("load")) != null) ? null : headers.get("load"),
				headers.contains("rate-limit") ? Double.valueOf(headers.get("rate-limit")) : null,
				headers.contains("retry-after") ? Duration.ofSeconds(Long.parseLong(headers.get("retry-after"))) : null,
				headers.contains("leaving"),
				headers.contains("brittle") ? Double.valueOf(headers.get("brittle")) : null);
	}

}
