package org.banyancove.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * HTTP client that sends requests to entries and stand-ins.
 */
final class Caller {

	static final String CREDENTIAL = "Bearer demo";

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(90);

	private final ObjectMapper mapper = new ObjectMapper();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	// Calls the order service with a method that is run at most once.
	CallResponse book(RunningProcess entry, String key, String body) {
		return join(bookAsync(entry, key, body));
	}

	CompletableFuture<CallResponse> bookAsync(RunningProcess entry, String key, String body) {
		return send("POST", entry.address(), "/services/orders/deliveries", body, "Authorization", CREDENTIAL,
				"Idempotency-Key", key);
	}

	// Calls the order service with a method that may be repeated.
	CompletableFuture<CallResponse> lookUpAsync(RunningProcess entry) {
		return send("GET", entry.address(), "/services/orders/deliveries", "", "Authorization", CREDENTIAL);
	}

	CallResponse chat(RunningProcess entry, ModelRequest modelRequest) {
		return join(chatAsync(entry, modelRequest));
	}

	CompletableFuture<CallResponse> chatAsync(RunningProcess entry, ModelRequest modelRequest) {
		return send("POST", entry.address(), "/v1/chat/completions", body(modelRequest, false), "Authorization",
				CREDENTIAL);
	}

	ResponseStream stream(RunningProcess entry, ModelRequest modelRequest) {
		return new ResponseStream(this.client, request("POST", entry.address(), "/v1/chat/completions",
				body(modelRequest, true), "Authorization", CREDENTIAL));
	}

	// Requests the complete response again, from any entry.
	ResponseStream reconnect(RunningProcess entry, String requestId) {
		return new ResponseStream(this.client, request("GET", entry.address(), "/v1/requests/" + requestId, "",
				"Authorization", CREDENTIAL, "Accept", "text/event-stream"));
	}

	CallResponse call(String method, String address, String path, String body, String... headers) {
		return join(send(method, address, path, body, headers));
	}

	CallResponse get(String address, String path) {
		return call("GET", address, path, "");
	}

	void injectFault(RunningProcess standin, String faults) {
		CallResponse response = call("POST", standin.address(), "/standin/faults", faults);
		if (response.status() != 200) {
			throw new AssertionError("Fault injection rejected: " + faults + ": " + response.body());
		}
	}

	static CallResponse join(CompletableFuture<CallResponse> response) {
		return response.orTimeout(RESPONSE_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
	}

	private CompletableFuture<CallResponse> send(String method, String address, String path, String body,
			String... headers) {
		return this.client
			.sendAsync(request(method, address, path, body, headers), HttpResponse.BodyHandlers.ofString())
			.thenApply((response) -> new CallResponse(response.statusCode(), response.headers(), response.body()));
	}

	private static HttpRequest request(String method, String address, String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			request.headers(headers);
		}
		return request.build();
	}

	private String body(ModelRequest modelRequest, boolean stream) {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("model", modelRequest.service()).put("stream", stream).put("max_tokens", modelRequest.tokens());
		root.putArray("messages").addObject().put("role", "user").put("content", modelRequest.prompt());
		try {
			return this.mapper.writeValueAsString(root);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
