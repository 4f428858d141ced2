package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.banyancove.core.Invariant;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Delivers answers to the callers that wait for them, each from the offset that it
 * requested.
 */
final class AnswerSystem {

	private final RequestTable requests;

	private final InstantSource clock;

	private final Consumer<EntryCommand> commands;

	private final EntryCounters counters;

	AnswerSystem(RequestTable requests, InstantSource clock, Consumer<EntryCommand> commands, EntryCounters counters) {
		this.requests = requests;
		this.clock = clock;
		this.commands = commands;
		this.counters = counters;
	}

	// Rejects a request that was not added to the table.
	void reject(SubscriberId subscriber, AnswerPart.Failure failure) {
		this.counters.countFailure(failure.kind());
		this.commands.accept(new EntryCommand.Deliver(subscriber, failure));
	}

	void accepted(RequestEntity request) {
		deliver(request, new AnswerPart.Accepted());
	}

	// Delivers new pieces. A request that was taken over resumes from its last
	// copied state, so a caller that reconnected may already have received some of
	// them.
	void deliverPieces(RequestEntity request, List<Piece> pieces) {
		AnswerBuffer answer = request.answer;
		for (Map.Entry<SubscriberId, AnswerReader> subscriber : Map.copyOf(request.subscribers).entrySet()) {
			AnswerReader reader = subscriber.getValue();
			boolean contiguous = deliver(subscriber.getKey(), reader, pieces)
					|| (answer != null && deliver(subscriber.getKey(), reader, answer.readFrom(reader.startOffset())));
			if (!contiguous) {
				request.subscribers.remove(subscriber.getKey());
				failNotContiguous(subscriber.getKey());
			}
		}
	}

	// Delivers the pieces that a caller has not received yet. Returns whether they
	// are contiguous with those that it has received.
	boolean deliver(SubscriberId subscriber, AnswerReader reader, List<Piece> pieces) {
		Invariant.check(pieces.isEmpty() || pieces.getFirst().fromOffset() <= reader.offset(),
				"caller %s expects token %s next, received %s", subscriber, reader.offset(), pieces);
		long before = reader.offset();
		List<Piece> newPieces = reader.accept(pieces);
		if (newPieces == null) {
			return false;
		}
		if (!newPieces.isEmpty() && newPieces.getFirst().fromOffset() < before) {
			deliver(subscriber, new AnswerPart.Restarted());
		}
		newPieces.forEach((piece) -> deliver(subscriber,
				new AnswerPart.Text(piece.fromOffset(), piece.toOffset(), piece.text())));
		return true;
	}

	// Two processes split the answer at different offsets, or generated different
	// texts. The caller gets a new reader when it reconnects, which may start again
	// at the first token.
	void failNotContiguous(SubscriberId subscriber) {
		deliver(subscriber, new AnswerPart.Failure(ErrorKind.ANSWER_INCOMPLETE,
				"the answer goes on at another bound; come back under its identifier", Duration.ZERO));
	}

	void end(RequestEntity request, AnswerPart last) {
		Instant now = this.clock.instant();
		this.requests.end(request, last, now);
		this.commands.accept(new EntryCommand.RecordSample(RequestSamples.of(request, last, now)));
		this.counters.countEnd(last);
		deliver(request, last);
	}

	void fail(RequestEntity request, ErrorKind kind, String detail, @Nullable Duration retryAfter) {
		end(request, new AnswerPart.Failure(kind, detail, retryAfter));
	}

	void failBlocked(RequestEntity request) {
		fail(request, ErrorKind.REQUEST_CRASHES_ENDPOINTS, ErrorKind.REQUEST_CRASHES_ENDPOINTS.meaning(), null);
	}

	// Delivers an answer from the requested offset to a caller that reconnected. A
	// request of another client account is reported as unknown, so that identifiers
	// cannot be probed. Returns whether this entry has the request.
	boolean callerReturned(EntryEvent.CallerReturned caller, AnswerReader reader) {
		RequestEntity request = this.requests.find(caller.request());
		if (request == null) {
			return false;
		}
		if (!request.call.account().equals(caller.account())) {
			failUnknown(caller);
			return true;
		}
		SubscriberId subscriber = caller.subscriber();
		deliver(subscriber, new AnswerPart.Accepted());
		AnswerBuffer answer = request.answer;
		if (answer != null && !deliver(subscriber, reader, answer.readFrom(reader.offset()))
				&& !deliver(subscriber, reader, answer.readFrom(reader.startOffset()))) {
			failNotContiguous(subscriber);
			return true;
		}
		AnswerPart last = request.finalPart;
		if (last != null) {
			deliver(subscriber, last);
			return true;
		}
		request.subscribers.put(subscriber, reader);
		return true;
	}

	void failUnknown(EntryEvent.CallerReturned caller) {
		reject(caller.subscriber(), new AnswerPart.Failure(ErrorKind.REQUEST_UNKNOWN,
				"no entry that answers knows request " + caller.request(), null));
	}

	void deliver(SubscriberId subscriber, AnswerPart part) {
		this.commands.accept(new EntryCommand.Deliver(subscriber, part));
	}

	void callerLeft(EntryEvent.CallerLeft caller) {
		RequestEntity request = this.requests.find(caller.request());
		if (request != null) {
			request.subscribers.remove(caller.subscriber());
		}
	}

	static AnswerPart.Failure failure(BanyancoveException exception) {
		return new AnswerPart.Failure(exception.kind(), String.valueOf(exception.getMessage()), null);
	}

	private void deliver(RequestEntity request, AnswerPart part) {
		Invariant.check(request.finalPart == null || request.finalPart == part,
				"answer of request %s received a part after its end", request.id());
		for (SubscriberId subscriber : request.subscribers.keySet()) {
			deliver(subscriber, part);
		}
	}

}
