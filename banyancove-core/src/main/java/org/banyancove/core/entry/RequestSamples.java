package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;

import org.banyancove.core.burn.RequestSample;
import org.jspecify.annotations.Nullable;

/**
 * Evaluates ended requests against the targets of the profile under which they were
 * accepted.
 */
final class RequestSamples {

	private RequestSamples() {
	}

	static RequestSample of(RequestEntity request, AnswerPart last, Instant endedAt) {
		Duration total = Duration.between(request.arrivedAt, endedAt);
		Duration firstToken = firstToken(request);
		String errorCode = (last instanceof AnswerPart.Failure failure) ? failure.kind().code() : null;
		return new RequestSample(endedAt, request.id(), request.call.account(), request.service.name(),
				request.profile.name(), (firstToken != null) ? firstToken.toMillis() : null, total.toMillis(),
				meetsTargets(request, last, firstToken, total), errorCode);
	}

	private static boolean meetsTargets(RequestEntity request, AnswerPart last, @Nullable Duration firstToken,
			Duration total) {
		Duration target = request.profile.firstTokenTarget();
		return switch (last) {
			case AnswerPart.PlainResponse _ -> total.compareTo(target) <= 0;
			case AnswerPart.EndOfText end -> firstToken != null && firstToken.compareTo(target) <= 0
					&& meetsTokenTarget(end, total.minus(firstToken), request.profile.tokenTarget());
			case AnswerPart.Failure _, AnswerPart.Accepted _, AnswerPart.Restarted _, AnswerPart.Text _ -> false;
		};
	}

	private static boolean meetsTokenTarget(AnswerPart.EndOfText end, Duration generating, Duration tokenTarget) {
		long gaps = Math.max(1, end.tokens() - 1);
		return generating.compareTo(tokenTarget.multipliedBy(gaps)) <= 0;
	}

	private static @Nullable Duration firstToken(RequestEntity request) {
		Instant at = request.firstTokenAt;
		return (at != null) ? Duration.between(request.arrivedAt, at) : null;
	}

}
