package org.banyancove.operate;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An HTTP server for a log with one stream that injects faults into appends.
 */
final class SmallLog implements AutoCloseable {

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);

	private final List<ObjectNode> records = new ArrayList<>();

	private final List<Fault> faults = new ArrayList<>();

	private final List<JsonNode> delayedAppends = new ArrayList<>();

	private int firstRetained;

	SmallLog() throws IOException {
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	/**
	 * Injects faults into the next appends, one each, in order.
	 * @param next the faults
	 */
	synchronized void injectFaults(Fault... next) {
		this.faults.addAll(List.of(next));
	}

	synchronized void trimAll() {
		this.firstRetained = this.records.size();
	}

	synchronized int size() {
		return this.records.size();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private synchronized void handle(HttpExchange exchange) throws IOException {
		if (exchange.getRequestMethod().equals("GET")) {
			respond(exchange, 200, page(exchange.getRequestURI().getQuery()));
			return;
		}
		JsonNode body = this.mapper.readTree(exchange.getRequestBody());
		Fault fault = this.faults.isEmpty() ? Fault.NONE : this.faults.removeFirst();
		switch (fault) {
			case NONE -> respond(exchange, 200, append(body));
			case RESPONSE_LOST -> {
				append(body);
				exchange.close();
			}
			case APPEND_DELAYED -> {
				this.delayedAppends.add(body);
				exchange.close();
			}
			case REJECTED -> {
				exchange.getResponseHeaders().set("Retry-After", "0");
				respond(exchange, 429, this.mapper.createObjectNode());
			}
			case CONCURRENT_CHANGE -> {
				append(concurrentChange(body));
				respond(exchange, 200, append(body));
			}
		}
	}

	private ObjectNode append(JsonNode body) {
		List<JsonNode> bodies = new ArrayList<>(this.delayedAppends);
		this.delayedAppends.clear();
		bodies.add(body);
		int first = this.records.size();
		for (JsonNode pending : bodies) {
			first = this.records.size();
			pending.get("records").forEach(this::appendRecord);
		}
		return this.mapper.createObjectNode().put("firstOffset", first).put("lastOffset", this.records.size() - 1);
	}

	private void appendRecord(JsonNode record) {
		ObjectNode stored = record.deepCopy();
		this.records.add(stored.put("offset", this.records.size()).put("appendedAt", "2026-01-01T00:00:00Z"));
	}

	private static JsonNode concurrentChange(JsonNode body) {
		JsonNode copy = body.deepCopy();
		copy.get("records").forEach((record) -> {
			String id = record.get("id").asText();
			String data = record.get("data").asText().replace(id, "concurrent-" + id);
			((ObjectNode) record).put("id", "concurrent-" + id).put("data", data);
		});
		return copy;
	}

	private ObjectNode page(String query) {
		int from = Integer.parseInt(query.replaceAll(".*from=(\\d+).*", "$1"));
		ObjectNode page = this.mapper.createObjectNode()
			.put("firstRetained", this.firstRetained)
			.put("endOffset", this.records.size());
		ArrayNode list = page.putArray("records");
		for (int i = Math.max(from, this.firstRetained); i < this.records.size(); i++) {
			list.add(this.records.get(i));
		}
		return page;
	}

	private static void respond(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	/**
	 * A fault of an append.
	 */
	enum Fault {

		/** The append succeeds. */
		NONE,

		/** The append takes effect but its response is lost. */
		RESPONSE_LOST,

		/** The append gets no response and takes effect just before the next one. */
		APPEND_DELAYED,

		/** The log rejects the append. */
		REJECTED,

		/** Another operator's change of the same objects is appended just before. */
		CONCURRENT_CHANGE

	}

}
