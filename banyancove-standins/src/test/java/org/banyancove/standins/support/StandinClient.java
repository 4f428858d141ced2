package org.banyancove.standins.support;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * HTTP client for the tests of the stand-ins.
 */
public final class StandinClient {

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final InetSocketAddress address;

	public StandinClient(InetSocketAddress address) {
		this.address = address;
	}

	public HttpResponse<String> send(String method, String path, String body, String... headers)
			throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + this.address.getPort() + path);
		HttpRequest.Builder request = HttpRequest.newBuilder(uri)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			request.headers(headers);
		}
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	public void sendWithin(Duration timeout, String method, String path, String body)
			throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + this.address.getPort() + path);
		this.client.send(HttpRequest.newBuilder(uri)
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.timeout(timeout)
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	public JsonNode json(String method, String path, String body, String... headers)
			throws IOException, InterruptedException {
		return Json.MAPPER.readTree(send(method, path, body, headers).body());
	}

}
