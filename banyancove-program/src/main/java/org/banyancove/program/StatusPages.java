package org.banyancove.program;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;

/**
 * HTTP handler for operators and the platform's load balancer, which serves liveness,
 * readiness, metrics and status.
 */
public final class StatusPages implements HttpHandler {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final BooleanSupplier ready;

	private final Map<String, Supplier<String>> pages;

	/**
	 * Creates the handler.
	 * @param ready whether the process accepts new work
	 * @param metrics supplies the metrics in Prometheus' text format
	 * @param status supplies the state of this process in JSON
	 */
	public StatusPages(BooleanSupplier ready, Supplier<String> metrics, Supplier<String> status) {
		this.ready = ready;
		this.pages = Map.of("/metrics", metrics, "/status", status, "/livez", () -> "alive\n");
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			String path = exchange.getRequestURI().getPath();
			if (path.equals("/readyz")) {
				boolean acceptsWork = this.ready.getAsBoolean();
				write(exchange, acceptsWork ? OK : UNAVAILABLE, acceptsWork ? "ready\n" : "not ready\n");
				return;
			}
			Supplier<String> page = this.pages.get(path);
			write(exchange, (page != null) ? OK : NOT_FOUND, (page != null) ? page.get() : "no such page\n");
		}
	}

	private static void write(HttpExchange exchange, int status, String text) throws IOException {
		byte[] body = text.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, body.length);
		try (OutputStream output = exchange.getResponseBody()) {
			output.write(body);
		}
	}

}
