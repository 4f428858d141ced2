package org.banyancove.gateway.exchange;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.EndpointId;
import org.banyancove.http.FramingViolation;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a response whose head breaks the protocol is never passed on, and that a
 * sound one is.
 */
class BrokenHeadTests {

	/** Names the request, and is sealed. */
	private static final String HEADERS = "id: ID\r\nseal: s\r\n";

	private static final String BODY = HEADERS + "content-length: 5\r\n\r\nhello";

	private static final List<String> REQUESTS = List.of("GET /again/x HTTP/1.1", "POST /once/x HTTP/1.1",
			"POST /stream/x HTTP/1.1", "POST /resumed/x HTTP/1.1", "GET /again/x HTTP/1.0", "HEAD /again/x HTTP/1.1");

	private final ScriptedEndpoint endpoint = new ScriptedEndpoint();

	private final TestGateway gateway = new TestGateway(this.endpoint.address());

	private int cases;

	BrokenHeadTests() throws Exception {
	}

	@BeforeEach
	void list() throws Exception {
		this.gateway.list(new EndpointId("i-0"));
	}

	@AfterEach
	void stop() throws Exception {
		this.endpoint.close();
		this.gateway.close();
	}

	// Guards against a status that no caller can read, of an endpoint in trouble.
	@ParameterizedTest
	@ValueSource(
			strings = { "000 OK", "000", "000 ", "001 OK", "010 OK", "099 OK", "099", "600 Odd", "700", "999 Odd" })
	void statusThatNoResponseHasIsNotPassedOn(String status) throws Exception {
		assertThat(passedOn("HTTP/1.1 " + status + "\r\n" + BODY)).isEmpty();
		assertThat(this.gateway.violations()).containsOnly(FramingViolation.INVALID_STATUS);
	}

	// Guards against a header that counts as another one, such as the length, though its
	// name has bytes that no name has.
	@ParameterizedTest
	@ValueSource(strings = { "X-Odd : 1", "X-Odd\t: 1", "X Odd: 1", "X\tOdd: 1", "X\0Odd: 1", "X\1Odd: 1",
			"X\177Odd: 1", "X\rOdd: 1", "X-Odd\r: 1", "\rX-Odd: 1", "X-\u00e9: 1", "X(Odd): 1", ": 1", "X-Odd",
			"Content-Length : 3" })
	void headerWithAMalformedNameIsNotPassedOn(String line) throws Exception {
		assertThat(passedOn("HTTP/1.1 200 OK\r\n" + line + "\r\n" + BODY)).isEmpty();
		assertThat(passedOn("HTTP/1.1 200 OK\r\n" + HEADERS + "content-length: 5\r\n" + line + "\r\n\r\nhello"))
			.isEmpty();
		assertThat(this.gateway.violations()).containsOnly(FramingViolation.NO_HEADER);
	}

	// Guards against a body of another length than the endpoint's.
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length : 3", "Content-Length\t: 3", " Content-Length: 3", "Content\0-Length: 3",
			"Transfer-Encoding : chunked" })
	void onlyLengthWithAMalformedNameIsNotPassedOn(String line) throws Exception {
		assertThat(passedOn("HTTP/1.1 200 OK\r\n" + line + "\r\n" + HEADERS + "\r\nhello")).isEmpty();
		if (!line.startsWith(" ")) {
			assertThat(passedOn("HTTP/1.1 200 OK\r\n" + HEADERS + line + "\r\n\r\nhello")).isEmpty();
		}
	}

	// Guards against control bytes that reach a caller behind the status.
	@ParameterizedTest
	@ValueSource(strings = { "O\0K", "\0", "OK\0", "O\1K", "O\33K", "O\177K", "O\rK" })
	void reasonPhraseWithAControlByteIsNotPassedOn(String reason) throws Exception {
		assertThat(passedOn("HTTP/1.1 200 " + reason + "\r\n" + BODY)).isEmpty();
	}

	// Guards against coded bytes that reach a caller as the body, without their coding.
	@ParameterizedTest
	@ValueSource(strings = { "xchunked", "gzip", "gzip, chunked", "chunked;q=1" })
	void bodyOfAnotherTransferCodingIsNotPassedOn(String coding) throws Exception {
		String head = "HTTP/1.1 200 OK\r\n" + HEADERS + "transfer-encoding: " + coding + "\r\n";
		List<String> requests = REQUESTS.subList(0, REQUESTS.size() - 1);
		assertThat(passedOn(head + "\r\n5\r\nhello\r\n0\r\n\r\n", requests)).isEmpty();
		assertThat(this.gateway.violations()).containsOnly(FramingViolation.UNKNOWN_TRANSFER_CODING);
	}

	// Guards against the same if chunks are coded again.
	@ParameterizedTest
	@ValueSource(strings = { "chunked, gzip", "chunked, chunked", "chunked\r\ntransfer-encoding: chunked" })
	void codedChunksAreNotPassedOn(String coding) throws Exception {
		assertThat(passedOn(
				"HTTP/1.1 200 OK\r\n" + HEADERS + "transfer-encoding: " + coding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
				REQUESTS.subList(0, REQUESTS.size() - 1)))
			.isEmpty();
	}

	// Guards against broken lines that are skipped with an interim response.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 100 Go\r\nX-Odd : 1\r\n\r\n",
			"HTTP/1.1 103 Ear\0ly\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 101 Other\r\n\r\n" })
	void brokenInterimResponseIsNotSkipped(String interim) throws Exception {
		assertThat(passedOn(interim + "HTTP/1.1 200 OK\r\n" + BODY)).isEmpty();
	}

	// Guards against a broken response that is passed on behind one of another request.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n", "HTTP/1.1 200 O\0K\r\n" })
	void brokenResponseBehindADiscardedOneIsNotPassedOn(String head) throws Exception {
		String other = "HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\ncontent-length: 5\r\n\r\nother";
		assertThat(passedOn(other + head + BODY)).isEmpty();
		assertThat(passedOn(head + BODY.replace("ID", "other") + "HTTP/1.1 200 OK\r\n" + BODY)).isEmpty();
	}

	// Guards against a broken response that another gateway relays.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n", "HTTP/1.1 200 O\0K\r\n" })
	void brokenResponseBehindATunnelIsNotPassedOn(String head) throws Exception {
		this.gateway.tunnel();
		assertThat(passedOn(head + BODY)).isEmpty();
	}

	// Guards against a connection that is used again after a broken response.
	@Test
	void connectionOfABrokenResponseIsClosed() throws Exception {
		call("POST /once/x HTTP/1.1", "HTTP/1.1 000 OK\r\n" + BODY);
		assertThat(this.endpoint.awaitConnectionEnd()).isNotNull();
	}

	// Guards against a failure of a request that another attempt would serve.
	@Test
	void repeatableRequestIsRetriedAfterABrokenResponse() throws Exception {
		this.gateway.list(new EndpointId("other"));
		this.endpoint.thenRespond("HTTP/1.1 000 OK\r\n" + BODY);
		assertThat(call("GET /again/x HTTP/1.1", "HTTP/1.1 200 OK\r\n" + BODY)).startsWith("HTTP/1.1 200 OK\r\n")
			.endsWith("hello");
		this.endpoint.thenRespond("HTTP/1.1 000 OK\r\n" + BODY);
		assertThat(call("POST /once/x HTTP/1.1", "HTTP/1.1 200 OK\r\n" + BODY)).startsWith("HTTP/1.1 502 ");
	}

	// Guards against a trailer that reaches a caller.
	@ParameterizedTest
	@ValueSource(strings = { "X Odd: 1", "X-Odd : 1", "X\0Odd: 1", "Content-Length : 3", "X-Odd: 1" })
	void trailersAreNotPassedOn(String trailer) throws Exception {
		String response = "HTTP/1.1 200 OK\r\n" + HEADERS + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
				+ trailer + "\r\n\r\n";
		for (String request : List.of("GET /again/x HTTP/1.1", "POST /once/x HTTP/1.1")) {
			assertThat(call(request, response)).satisfiesAnyOf(
					(received) -> assertThat(received).endsWith("\r\n\r\nhello").doesNotContain("Odd", ": 3"),
					(received) -> assertThat(received).startsWith("HTTP/1.1 502 "));
		}
	}

	// Guards against sound endpoints whose responses are odd but allowed.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 Tr\u00e8s bien",
			"HTTP/1.1 200 a\tb", "HTTP/1.1 299 Odd", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: 1",
			"HTTP/1.1 200 OK\r\nX-Odd:  \t 1 \t", "HTTP/1.1 200 OK\r\nX-Odd:", "HTTP/1.1 200 OK\r\nX-Odd: a\r\n\tb",
			"HTTP/1.1 200 OK\r\nX-Odd: \u00e9", "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK",
			"HTTP/1.1 103 Early\r\nlink: a\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 200 OK",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: identity" })
	void oddHeadIsPassedOn(String head) throws Exception {
		for (String request : REQUESTS.subList(0, 2)) {
			assertThat(call(request, head + "\r\n" + BODY)).startsWith("HTTP/1.1 2").endsWith("\r\n\r\nhello");
		}
		assertThat(this.gateway.violations()).isEmpty();
	}

	// Guards against a status that is lost, and a body of a response that has none.
	@ParameterizedTest
	@ValueSource(ints = { 200, 201, 204, 205, 206, 226, 299, 301, 304, 399, 400, 404, 413, 418, 499, 500, 502, 599 })
	void eachStatusIsPassedOn(int status) throws Exception {
		boolean empty = status == 204 || status == 205 || status == 304;
		String rest = (status == 205) ? HEADERS + "content-length: 0\r\n\r\n" : empty ? HEADERS + "\r\n" : BODY;
		assertThat(call("POST /once/x HTTP/1.1", "HTTP/1.1 " + status + " Status\r\n" + rest))
			.startsWith("HTTP/1.1 " + status + " Status\r\n")
			.endsWith(empty ? "\r\n\r\n" : "hello");
	}

	// Guards against a body that a caller reads as its next response.
	@ParameterizedTest
	@ValueSource(ints = { 204, 205, 304 })
	void bodyOfAResponseThatHasNoneIsNotPassedOn(int status) throws Exception {
		String head = "HTTP/1.1 " + status + " Status\r\n" + HEADERS;
		for (String body : List.of("content-length: 5\r\n\r\nhello",
				"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")) {
			String received = call("POST /once/x HTTP/1.1", head + body);
			assertThat(received).startsWith("HTTP/1.1 " + status + " Status\r\n").endsWith("\r\n\r\n");
		}
	}

	// Guards against a broken line of a caller that reaches an endpoint.
	@ParameterizedTest
	@ValueSource(strings = { "X-Odd : 1", "X Odd: 1", "X\0Odd: 1", "X\177Odd: 1", "X-\u00e9: 1", ": 1", "X-Odd: a\0b",
			"X-Odd: a\rb", "X-Odd\r: 1", "Content-Length : 3", "Transfer-Encoding : chunked" })
	void brokenHeadOfACallerIsRejected(String line) throws Exception {
		String received = call("POST /once/x HTTP/1.1\r\n" + line, "HTTP/1.1 200 OK\r\n" + BODY);
		assertThat(received).startsWith("HTTP/1.1 400 ");
		assertThat(this.endpoint.unreadRequests()).isZero();
	}

	private List<String> passedOn(String response) throws Exception {
		return passedOn(response, REQUESTS);
	}

	private List<String> passedOn(String response, List<String> requests) throws Exception {
		List<String> passedOn = new ArrayList<>();
		for (String request : requests) {
			String received = call(request, response);
			if (!received.matches("(?s)HTTP/1.1 502 .*\"error\":\"endpoint_failed\".*|HTTP/1.1 502 [^{]*")) {
				passedOn.add(request + ": " + received);
			}
		}
		return passedOn;
	}

	// Each request has an endpoint without earlier failures.
	private String call(String request, String response) throws Exception {
		EndpointId previous = new EndpointId("i-" + this.cases);
		this.cases++;
		this.gateway.remove(previous);
		this.gateway.list(new EndpointId("i-" + this.cases));
		this.endpoint.otherwise((connection, id) -> ScriptedEndpoint.write(connection, response.replace("ID", id)));
		try (Socket caller = new Socket(this.gateway.address().getAddress(), this.gateway.address().getPort())) {
			caller.setSoTimeout(5000);
			ScriptedEndpoint.write(caller, request + "\r\nhost: host\r\nid: " + this.cases
					+ "\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			try {
				caller.getInputStream().transferTo(received);
			}
			catch (IOException ex) {
				received.writeBytes(ex.toString().getBytes(StandardCharsets.US_ASCII));
			}
			return received.toString(StandardCharsets.ISO_8859_1);
		}
	}

}
