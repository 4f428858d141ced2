package org.banyancove.platform;

import java.net.ProtocolException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

import org.jspecify.annotations.Nullable;

/**
 * A body handler that fails responses with a head that no final response can have. The
 * JDK's client also accepts some of those.
 *
 * @param <T> the type of the response body
 */
final class CheckedBodyHandler<T> implements HttpResponse.BodyHandler<T> {

	/** The client mistakes interim responses behind a go-ahead for final ones. */
	private static final int MINIMUM_STATUS = 200;

	private static final int MAXIMUM_STATUS = 599;

	private static final Set<Integer> STATUSES_WITHOUT_BODY = Set.of(204, 304);

	private static final Set<String> DECODED_CODINGS = Set.of("chunked", "identity");

	private final HttpRequest request;

	private final HttpResponse.BodyHandler<T> delegate;

	/**
	 * Creates a handler.
	 * @param request the request whose response is read
	 * @param delegate reads the bodies of the other responses
	 */
	CheckedBodyHandler(HttpRequest request, HttpResponse.BodyHandler<T> delegate) {
		this.request = request;
		this.delegate = delegate;
	}

	@Override
	public HttpResponse.BodySubscriber<T> apply(HttpResponse.ResponseInfo head) {
		String violation = violation(head);
		return (violation != null) ? new FailedBody<>(violation + " from " + this.request.uri())
				: this.delegate.apply(head);
	}

	private @Nullable String violation(HttpResponse.ResponseInfo head) {
		if (head.statusCode() < MINIMUM_STATUS || head.statusCode() > MAXIMUM_STATUS) {
			return "invalid status " + head.statusCode();
		}
		List<String> codings = head.headers()
			.allValues("Transfer-Encoding")
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((coding) -> coding.trim().toLowerCase(Locale.ROOT))
			.filter((coding) -> !coding.isEmpty())
			.toList();
		boolean decoded = codings.isEmpty() || (codings.size() == 1 && DECODED_CODINGS.contains(codings.getFirst()));
		return (decoded || !hasBody(head)) ? null : "unknown transfer coding " + codings;
	}

	private boolean hasBody(HttpResponse.ResponseInfo head) {
		return !this.request.method().equals("HEAD") && !STATUSES_WITHOUT_BODY.contains(head.statusCode());
	}

	/**
	 * The body of a failed response, which closes its connection.
	 *
	 * @param <T> the type of the response body
	 */
	private static final class FailedBody<T> implements HttpResponse.BodySubscriber<T> {

		private final CompletableFuture<T> body;

		FailedBody(String reason) {
			this.body = CompletableFuture.failedFuture(new ProtocolException(reason));
		}

		@Override
		public CompletionStage<T> getBody() {
			return this.body;
		}

		@Override
		public void onSubscribe(Flow.Subscription subscription) {
			subscription.cancel();
		}

		@Override
		public void onNext(List<ByteBuffer> bytes) {
			// The subscription is cancelled.
		}

		@Override
		public void onError(Throwable failure) {
			// The response has failed before.
		}

		@Override
		public void onComplete() {
			// The response has failed before.
		}

	}

}
