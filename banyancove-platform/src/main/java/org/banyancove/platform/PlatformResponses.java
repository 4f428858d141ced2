package org.banyancove.platform;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's responses.
 */
final class PlatformResponses {

	/** The retry delay after a rejection without a {@code Retry-After} header. */
	static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.build();

	private PlatformResponses() {
	}

	static boolean isSuccess(HttpResponse<?> response) {
		return response.statusCode() / 100 == 2;
	}

	static boolean isRejected(HttpResponse<?> response) {
		return response.statusCode() == TOO_MANY_REQUESTS || response.statusCode() == SERVICE_UNAVAILABLE;
	}

	static boolean isClientError(HttpResponse<?> response) {
		return response.statusCode() / 100 == 4;
	}

	static Duration retryAfter(HttpResponse<?> response) {
		return response.headers()
			.firstValue("Retry-After")
			.map(PlatformResponses::parseSeconds)
			.orElse(DEFAULT_RETRY_AFTER);
	}

	static String describe(HttpResponse<String> response) {
		return "status " + response.statusCode() + " from " + response.uri();
	}

	static void expectSuccess(HttpResponse<String> response) {
		if (!isSuccess(response)) {
			throw unreachable("The platform answered " + describe(response), null);
		}
	}

	static <T> T read(HttpResponse<String> response, Class<T> type) {
		expectSuccess(response);
		try {
			return mapper.readValue(response.body(), type);
		}
		catch (JsonProcessingException ex) {
			throw unreachable("The platform's answer from " + response.uri() + " cannot be read", ex);
		}
	}

	static String write(Object document) {
		try {
			return mapper.writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("Cannot write " + document, ex);
		}
	}

	static BanyancoveException unreachable(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof BanyancoveException known) {
			return known;
		}
		return unreachable("The platform does not answer: " + cause, cause);
	}

	private static BanyancoveException unreachable(String message, @Nullable Throwable cause) {
		return new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, message, cause);
	}

	private static Duration parseSeconds(String value) {
		try {
			return Duration.ofMillis(Math.round(Double.parseDouble(value) * 1000));
		}
		catch (NumberFormatException ex) {
			// The header may also contain a date, for which the default applies.
			return DEFAULT_RETRY_AFTER;
		}
	}

}
