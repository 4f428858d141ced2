package org.banyancove.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StrictResponseDecoderTests {

	private static final String RESPONSE = "HTTP/1.1 500 Failed\r\nid: 1\r\ncontent-length: 5\r\n\r\nhello";

	private long now;

	private final List<FramingViolation> violations = new ArrayList<>();

	private final StrictResponseDecoder decoder = new StrictResponseDecoder(this.violations::add, () -> this.now);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder);

	@ParameterizedTest
	@ValueSource(strings = { RESPONSE, "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 204\r\n\r\n",
			"HTTP/1.1 200 \r\nvia: HTTP/1.1 a, HTTP/1.1 b\r\nset-cookie: a\r\nset-cookie: b\r\ncontent-length: 0\r\n\r\n",
			"HTTP/1.1 103 Early\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\nx: a\r\n b\r\ncontent-length: 0\r\n\r\n" })
	void soundResponsesAreNoViolations(String text) {
		for (int segment : new int[] { 1, 7, text.length() }) {
			StrictResponseDecoder expecting = expecting();
			receive(new EmbeddedChannel(expecting), text, segment);
			assertThat(expecting.endResponse()).isTrue();
		}
		assertThat(this.violations).isEmpty();
	}

	// Guards against sound servers whose responses look like two because of an address in
	// a header or a quotation in a body.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nvia: HTTP/1.1 192.168.0.1\r\ncontent-length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\nHTTP/1.1 200 OK" })
	void quotationsAreNoViolations(String text) {
		soundResponsesAreNoViolations(text);
	}

	// Guards against a body that ended early and was filled up by a late response, of
	// which not even the status line need fit into the body.
	@ParameterizedTest
	@ValueSource(ints = { 5, 12, 13, 30, 70 })
	void lateResponseThatFillsUpABodyIsReported(int missing) {
		String extra = "HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 40\r\n\r\n" + "x".repeat(40);
		for (String received : List.of("", "part")) {
			int length = received.length() + missing;
			EmbeddedChannel connection = new EmbeddedChannel(expecting());
			receive(connection, "HTTP/1.1 200 OK\r\ncontent-length: " + length + "\r\n\r\n" + received, 1000);
			this.now += Duration.ofMillis(2).toNanos();
			receive(connection, extra.substring(0, missing), 1000);
			assertThat(this.violations).containsExactly(FramingViolation.STATUS_LINE_IN_BODY);
			this.violations.clear();
		}
	}

	// Guards against the same if the late response is received together with the body's
	// last bytes, and its status line begins in the body and ends behind it.
	@ParameterizedTest
	@ValueSource(ints = { 1, 4, 12 })
	void statusLineThatExtendsOverTheEndOfABodyIsReported(int missing) {
		this.decoder.expectResponse(HttpMethod.GET);
		this.channel.pipeline().addLast(new EndHandler());
		receive("HTTP/1.1 200 OK\r\ncontent-length: " + (4 + missing) + "\r\n\r\npart" + RESPONSE, 1000);
		assertThat(this.violations).containsExactly(FramingViolation.STATUS_LINE_IN_BODY);
	}

	// Guards against the beginning of a late response at the end of a body without
	// length.
	@ParameterizedTest
	@ValueSource(ints = { 5, 12 })
	void beginningOfAResponseAtTheEndOfABodyWithoutLengthIsReported(int length) {
		this.decoder.expectResponse(HttpMethod.GET);
		receive("HTTP/1.0 200 OK\r\n\r\npart" + RESPONSE.substring(0, length), 1000);
		this.channel.finishAndReleaseAll();
		assertThat(this.violations).containsExactly(FramingViolation.STATUS_LINE_IN_BODY);
	}

	// Guards against sound bodies that pause, also before a letter that begins status
	// lines, and quote a status line elsewhere.
	@ParameterizedTest
	@ValueSource(strings = { "part|HTTP or HTTP/1.1 200 OK|HTT", "part|\"HTTP/1.1 200 OK\r\n\"", "|H|TTP/2" })
	void soundBodiesWithPausesAreNoViolations(String parts) {
		String body = parts.replace("|", "");
		StrictResponseDecoder expecting = expecting();
		EmbeddedChannel connection = new EmbeddedChannel(expecting);
		receive(connection, "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n", 1000);
		for (String part : parts.split("\\|")) {
			receive(connection, part, 1000);
			this.now += Duration.ofMillis(2).toNanos();
		}
		assertThat(expecting.endResponse()).isTrue();
		assertThat(this.violations).isEmpty();
	}

	// Guards against a response that fails because the one that was discarded before had
	// no body to discard.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 204 None\r\n\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" })
	void discardedResponseWithoutBodyHasNoEffectOnTheNext(String discarded) {
		this.channel.pipeline().addLast(new DiscardingHandler());
		this.decoder.expectResponse(HttpMethod.GET);
		receive(discarded + "HTTP/1.1 500 Failed\r\ncontent-length: 15\r\n\r\nHTTP/1.1 200 OK", 1000);
		assertThat(this.violations).isEmpty();
		receive("HTTP/1.1 200 O" + RESPONSE, 1000);
		assertThat(this.violations).containsExactly(FramingViolation.SECOND_STATUS_LINE);
	}

	@Test
	void bytesWithoutRequestAreReported() {
		receive("H", 1);
		assertThat(this.violations).containsExactly(FramingViolation.UNEXPECTED_BYTES);
	}

	@Test
	void bytesAfterAResponseAreReported() {
		this.decoder.expectResponse(HttpMethod.GET);
		this.channel.pipeline().addLast(new EndHandler());
		receive(RESPONSE + "\r", RESPONSE.length() + 1);
		assertThat(this.violations).containsExactly(FramingViolation.BYTES_AFTER_RESPONSE);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\ndate: Sat, 05", "HTTP/1.1 200 OK\r\nvia: a\r\n",
			"HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\nvia" })
	void headOfTwoResponsesIsReported(String beginning) {
		for (int segment : new int[] { 1, 7, 1000 }) {
			EmbeddedChannel connection = new EmbeddedChannel(expecting());
			receive(connection, beginning + RESPONSE, segment);
			assertThat(this.violations).containsExactly(FramingViolation.SECOND_STATUS_LINE);
			this.violations.clear();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "\r\n", " ", "\0", "HTT", "H", "HTTP/1.1 2", "HTTP/2 200 OK\r\n\r\n", "lo" })
	void bytesBeforeTheStatusLineAreReported(String beginning) {
		for (int segment : new int[] { 1, 7, 1000 }) {
			EmbeddedChannel connection = new EmbeddedChannel(expecting());
			receive(connection, beginning + RESPONSE, segment);
			assertThat(this.violations).containsExactly(FramingViolation.NO_STATUS_LINE);
			this.violations.clear();
		}
	}

	// Guards against a success with a part of its body: stray bytes cut a header in two,
	// so that the length is another one or none.
	@ParameterizedTest
	@ValueSource(strings = { "\n", "\r\n", " \t\r\n", "words\r\n", "0\r\n" })
	void headerThatStrayBytesCutInTwoIsReported(String stray) {
		String response = "HTTP/1.1 200 OK\r\ncontent-length: 15\r\nid: 12\r\n\r\nhello, welcome!";
		List<Integer> unreported = new ArrayList<>();
		int name = response.indexOf("content-length");
		for (int cut = name + 1; cut < response.indexOf("15") + 2; cut++) {
			for (int segment : new int[] { 1, 7, 1000 }) {
				this.violations.clear();
				EmbeddedChannel connection = new EmbeddedChannel(expecting());
				receive(connection, response.substring(0, cut) + stray + response.substring(cut), segment);
				if (this.violations.isEmpty() && hasOtherLength(connection)) {
					unreported.add(cut);
				}
			}
		}
		assertThat(unreported).isEmpty();
	}

	private static boolean hasOtherLength(EmbeddedChannel connection) {
		HttpResponse head = connection.readInbound();
		return head != null && head.decoderResult().isSuccess() && !"15".equals(head.headers().get("content-length"));
	}

	private StrictResponseDecoder expecting() {
		StrictResponseDecoder created = new StrictResponseDecoder(this.violations::add, () -> this.now);
		created.expectResponse(HttpMethod.GET);
		return created;
	}

	private void receive(String text, int segment) {
		receive(this.channel, text, segment);
	}

	private static void receive(EmbeddedChannel connection, String text, int segment) {
		for (int i = 0; i < text.length(); i += segment) {
			String part = text.substring(i, Math.min(text.length(), i + segment));
			connection.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
		}
	}

	/**
	 * Ends the response when it is complete.
	 */
	private final class EndHandler extends SimpleChannelInboundHandler<LastHttpContent> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, LastHttpContent message) {
			StrictResponseDecoderTests.this.decoder.endResponse();
		}

	}

	/**
	 * Discards the responses with other statuses than 500.
	 */
	private final class DiscardingHandler extends SimpleChannelInboundHandler<HttpResponse> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpResponse message) {
			if (message.status().code() != 500) {
				StrictResponseDecoderTests.this.decoder.discardResponse();
			}
		}

	}

}
