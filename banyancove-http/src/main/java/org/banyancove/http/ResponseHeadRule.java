package org.banyancove.http;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a decoded head is one that a response can have. The general decoder
 * also accepts others.
 */
final class ResponseHeadRule {

	private static final int MINIMUM_STATUS = 100;

	private static final int MAXIMUM_STATUS = 599;

	private static final char DELETE = 0x7f;

	private static final Set<String> DECODED_CODINGS = Set.of("chunked", "identity");

	private ResponseHeadRule() {
	}

	/**
	 * Returns what is wrong with a head.
	 * @param head the head of an interim or final response
	 * @param hasBody whether a body may follow it
	 * @return the violation, or {@code null} if there is none
	 */
	static @Nullable FramingViolation violation(HttpResponse head, boolean hasBody) {
		int status = head.status().code();
		if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
			return FramingViolation.INVALID_STATUS;
		}
		if (head.status().reasonPhrase().chars().anyMatch(ResponseHeadRule::isControl)) {
			return FramingViolation.INVALID_REASON;
		}
		return (hasBody && !isDecoded(head)) ? FramingViolation.UNKNOWN_TRANSFER_CODING : null;
	}

	private static boolean isControl(int character) {
		return (character < ' ' && character != '\t') || character == DELETE;
	}

	// The transfer coding is not passed on, so that the body has to be decoded.
	private static boolean isDecoded(HttpResponse head) {
		List<String> codings = head.headers()
			.getAll(HttpHeaderNames.TRANSFER_ENCODING)
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map(String::trim)
			.filter((coding) -> !coding.isEmpty())
			.toList();
		return codings.isEmpty()
				|| (codings.size() == 1 && DECODED_CODINGS.contains(codings.getFirst().toLowerCase(Locale.ROOT)));
	}

}
