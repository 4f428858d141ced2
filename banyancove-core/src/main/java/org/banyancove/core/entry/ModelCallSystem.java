package org.banyancove.core.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.Progress;
import org.banyancove.core.retry.RetryDecision;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.stream.StreamCommand;
import org.banyancove.core.stream.StreamEntity;
import org.banyancove.core.stream.StreamPort;
import org.banyancove.core.stream.StreamSettings;
import org.banyancove.core.stream.StreamSystem;
import org.banyancove.core.stream.StreamTable;
import org.jspecify.annotations.Nullable;

/**
 * Runs model requests: {@link StreamSystem} decides how each stream proceeds; this class
 * selects endpoints and executes its commands.
 */
final class ModelCallSystem implements StreamPort {

	private static final int MINIMUM_SERVER_ERROR_STATUS = 500;

	private final RequestTable requests;

	private final AttemptSystem attempts;

	private final AnswerSystem answers;

	private final EntryCounters counters;

	private final InstantSource clock;

	private final Consumer<EntryCommand> commands;

	private final StreamTable table = new StreamTable();

	private final StreamSystem streams;

	private final HoldSystem holds;

	/** Accepted requests for which no endpoint is available. */
	private final List<RequestEntity> awaitingEndpoint = new ArrayList<>();

	ModelCallSystem(RequestTable requests, AttemptSystem attempts, AnswerSystem answers, HoldSystem holds,
			StreamSettings settings, InstantSource clock, Consumer<EntryCommand> commands, EntryCounters counters) {
		this.requests = requests;
		this.attempts = attempts;
		this.answers = answers;
		this.holds = holds;
		this.clock = clock;
		this.commands = commands;
		this.counters = counters;
		this.streams = new StreamSystem(this.table, clock, settings, this);
	}

	// Offers a request to a second entry, which must hold a copy before the request
	// counts as accepted, or fails it at once if it cannot be placed.
	void begin(RequestEntity request) {
		switch (this.attempts.place(request)) {
			case AttemptPlacement.Ready _ -> this.holds.offer(request);
			case AttemptPlacement.Deferred _ -> this.holds.offer(request);
			case AttemptPlacement.Refused refused -> this.answers.fail(request, refused.kind(),
					"no engine can meet the profile's deadline", refused.retryAfter());
			case AttemptPlacement.Blocked _ -> this.answers.failBlocked(request);
		}
	}

	// Starts the stream of a request that a second entry holds too.
	void accepted(RequestEntity request) {
		this.answers.accepted(request);
		startOrWait(request);
	}

	// Resumes a request whose former owner failed or left.
	void takeOver(RequestEntity request, HeldRequest held, Progress progress) {
		request.phase = RequestPhase.RUNNING;
		EndpointId endpoint = progress.endpoint();
		if (endpoint != null) {
			this.attempts.adopt(request, endpoint);
		}
		this.streams.adopt(held, progress, promptTokens(request), maximumTokens(request));
		bindAnswer(request);
	}

	// Removes the stream of a request that another entry owns now.
	void released(RequestEntity request) {
		this.streams.released(request.id());
		this.attempts.endAttempt(request, AttemptOutcome.CANCELLED);
	}

	@Nullable StreamEntity find(RequestId id) {
		return this.table.find(id);
	}

	StreamSystem streams() {
		return this.streams;
	}

	void pieceReceived(RequestEntity request, EntryEvent.PieceArrived event) {
		Piece piece = new Piece(event.attempt(), event.fromOffset(), event.toOffset(), event.text());
		this.streams.piece(request.id(), piece);
	}

	void attemptEnded(RequestEntity request, EntryEvent.AttemptEnded event) {
		RequestId id = request.id();
		int attempt = event.attempt();
		switch (event.result()) {
			case AttemptResult.StreamEnded ended -> {
				this.counters.countRecomputed(ended.recomputedTokens());
				this.streams.ended(id, attempt, ended.totalTokens(), ended.finishReason());
			}
			case AttemptResult.Answered answered -> requestRejected(request, attempt, answered);
			case AttemptResult.Refused _ -> attemptFailed(request, attempt, AttemptOutcome.REFUSED);
			case AttemptResult.NeverSent _ -> endpointUnreachable(request, attempt);
			case AttemptResult.Broken _ -> this.streams.connectionFailed(id, attempt, true);
		}
	}

	void endpointLeaving(EndpointId endpoint, Instant reclaimAt) {
		this.streams.endpointLeaving(endpoint, reclaimAt);
	}

	// Retries the placement of the accepted requests that have no endpoint.
	void tick() {
		this.streams.tick();
		List<RequestEntity> waiting = new ArrayList<>(this.awaitingEndpoint);
		this.awaitingEndpoint.clear();
		for (RequestEntity request : waiting) {
			if (!request.isEnded()) {
				retryPlacement(request);
			}
		}
	}

	// Fails a request whose deadline passed before its stream started.
	void expire(RequestEntity request) {
		if (this.table.find(request.id()) == null) {
			this.answers.fail(request, ErrorKind.OVERLOADED, "the deadline passed before an engine was free",
					retryAfter(request.service.name()));
			this.holds.ended(request.id(), 0, failure(ErrorKind.OVERLOADED, request));
		}
	}

	@Override
	public void execute(StreamCommand command) {
		RequestEntity request = this.requests.find(command.request());
		if (request == null || request.isEnded()) {
			return;
		}
		switch (command) {
			case StreamCommand.Place place -> place(request, place);
			case StreamCommand.Start start -> this.attempts.start(request, start.endpoint(), start.attempt(),
					new AttemptRequest.Generate(request.call.body(), request.profile.priority()));
			case StreamCommand.Reattach reattach ->
				this.attempts.reattach(request, reattach.endpoint(), reattach.attempt(), reattach.fromOffset());
			case StreamCommand.Continue resume ->
				this.attempts.start(request, resume.endpoint(), resume.attempt(), new AttemptRequest.Continue(
						request.call.body(), request.profile.priority(), resume.fromOffset(), resume.text()));
			case StreamCommand.MoveCache move -> moveCache(request, move);
			case StreamCommand.Close close -> close(request, close);
			case StreamCommand.Deliver deliver -> deliver(request, deliver.pieces());
			case StreamCommand.End end -> end(request, end);
		}
	}

	@Override
	public Duration retryAfter(ServiceName service) {
		return this.attempts.retryAfterNoEndpoint(service);
	}

	private void startOrWait(RequestEntity request) {
		switch (this.attempts.place(request)) {
			case AttemptPlacement.Ready ready -> startStream(request, ready.placed().endpoint());
			case AttemptPlacement.Refused _ -> this.awaitingEndpoint.add(request);
			case AttemptPlacement.Deferred _ -> this.awaitingEndpoint.add(request);
			case AttemptPlacement.Blocked _ -> failBlockedBeforeStart(request);
		}
	}

	private void startStream(RequestEntity request, EndpointId endpoint) {
		this.streams.start(request.held(), endpoint, promptTokens(request), maximumTokens(request));
		bindAnswer(request);
	}

	private void bindAnswer(RequestEntity request) {
		StreamEntity stream = this.table.find(request.id());
		request.answer = (stream != null) ? stream.answer() : null;
	}

	private void failBlockedBeforeStart(RequestEntity request) {
		this.answers.failBlocked(request);
		this.holds.ended(request.id(), 0, failure(ErrorKind.REQUEST_CRASHES_ENDPOINTS, request));
	}

	// An accepted request waits until an endpoint is available or its deadline
	// passes.
	private void retryPlacement(RequestEntity request) {
		StreamEntity stream = this.table.find(request.id());
		if (stream == null) {
			startOrWait(request);
			return;
		}
		switch (this.attempts.place(request)) {
			case AttemptPlacement.Ready ready -> this.streams.placed(request.id(), ready.placed().endpoint());
			case AttemptPlacement.Refused _ -> waitForEndpoint(request, stream);
			case AttemptPlacement.Deferred _ -> waitForEndpoint(request, stream);
			case AttemptPlacement.Blocked _ -> {
				request.failure = ErrorKind.REQUEST_CRASHES_ENDPOINTS;
				this.streams.giveUp(request.id(), ErrorKind.REQUEST_CRASHES_ENDPOINTS);
			}
		}
	}

	private void waitForEndpoint(RequestEntity request, StreamEntity stream) {
		if (stream.endpoint() != null) {
			// The leaving endpoint continues the stream until another is available.
			this.streams.notPlaced(request.id());
			return;
		}
		this.awaitingEndpoint.add(request);
	}

	private void place(RequestEntity request, StreamCommand.Place place) {
		request.excluded.addAll(place.excluded());
		boolean failed = request.outcome.isFailure();
		if (failed && this.attempts.retry(request, false) instanceof RetryDecision.GiveUp giveUp) {
			request.failure = giveUp.kind();
			this.streams.giveUp(request.id(), giveUp.kind());
			return;
		}
		request.outcome = AttemptOutcome.CANCELLED;
		retryPlacement(request);
	}

	// The engine understood the request and rejected it. A stream that it does not
	// have moves to another engine; any other request would be rejected by another
	// engine too.
	private void requestRejected(RequestEntity request, int attempt, AttemptResult.Answered answered) {
		if (answered.status() >= MINIMUM_SERVER_ERROR_STATUS) {
			attemptFailed(request, attempt, AttemptOutcome.FAILED);
			return;
		}
		switch (request.attemptRequest) {
			case AttemptRequest.Reattach _ -> attemptFailed(request, attempt, AttemptOutcome.FAILED);
			case AttemptRequest.Continue _ -> this.streams.resumeRefused(request.id(), attempt);
			case null, default -> {
				request.failure = ErrorKind.MALFORMED_REQUEST;
				this.streams.giveUp(request.id(), ErrorKind.MALFORMED_REQUEST);
			}
		}
	}

	private void attemptFailed(RequestEntity request, int attempt, AttemptOutcome outcome) {
		request.outcome = outcome;
		this.attempts.endAttempt(request, outcome);
		this.streams.connectionFailed(request.id(), attempt, false);
	}

	private void endpointUnreachable(RequestEntity request, int attempt) {
		EndpointId endpoint = request.endpoint;
		this.attempts.markEndpointGone(request);
		attemptFailed(request, attempt, AttemptOutcome.LOST);
		if (endpoint != null) {
			this.table.at(endpoint).forEach(this::attemptLost);
			this.streams.endpointGone(endpoint);
		}
	}

	// Ends the attempt of another request at a lost endpoint.
	private void attemptLost(RequestId id) {
		RequestEntity request = this.requests.find(id);
		if (request != null && !request.isEnded()) {
			request.outcome = AttemptOutcome.LOST;
			this.attempts.endAttempt(request, AttemptOutcome.LOST);
		}
	}

	private void moveCache(RequestEntity request, StreamCommand.MoveCache move) {
		String source = this.attempts.address(move.source());
		String target = this.attempts.address(move.target());
		if (source == null || target == null) {
			this.streams.cacheMoved(request.id(), move.target(), false);
			return;
		}
		this.commands.accept(new EntryCommand.MoveCache(request.id(), source, move.target(), target));
	}

	private void close(RequestEntity request, StreamCommand.Close close) {
		this.commands.accept(new EntryCommand.CancelAttempt(close.request(), close.attempt(), close.endpoint()));
		if (!close.cancel()) {
			return;
		}
		if (!request.outcome.isFailure()) {
			request.outcome = AttemptOutcome.TIMED_OUT;
		}
		this.attempts.endAttempt(request, request.outcome);
		String address = this.attempts.address(close.endpoint());
		if (address != null) {
			this.commands.accept(new EntryCommand.CancelStream(close.request(), close.endpoint(), address));
		}
	}

	private void deliver(RequestEntity request, List<Piece> pieces) {
		if (request.firstTokenAt == null) {
			request.firstTokenAt = this.clock.instant();
			this.attempts.firstTokenReceived(request);
		}
		long tokens = pieces.getLast().toOffset() - pieces.getFirst().fromOffset();
		this.attempts.tokensReceived(request, Math.toIntExact(tokens));
		this.counters.countGenerated(tokens);
		this.answers.deliverPieces(request, pieces);
	}

	private void end(RequestEntity request, StreamCommand.End end) {
		switch (end.end()) {
			case EndOfAnswer.Complete complete -> {
				this.attempts.endAttempt(request, AttemptOutcome.COMPLETED);
				this.answers.end(request,
						new AnswerPart.EndOfText(end.totalOffset(), promptTokens(request), complete.finishReason()));
			}
			case EndOfAnswer.Failed failed -> {
				this.attempts.endAttempt(request, AttemptOutcome.TIMED_OUT);
				ErrorKind kind = (request.failure != null) ? request.failure : failed.kind();
				this.answers.fail(request, kind, kind.meaning(), failed.retryAfter());
			}
		}
		this.holds.ended(request.id(), end.totalOffset(), end.end());
	}

	private EndOfAnswer.Failed failure(ErrorKind kind, RequestEntity request) {
		return new EndOfAnswer.Failed(kind, retryAfter(request.service.name()));
	}

	private static int promptTokens(RequestEntity request) {
		Prompt prompt = request.call.prompt();
		return (prompt != null) ? prompt.tokens() : 0;
	}

	private static int maximumTokens(RequestEntity request) {
		Prompt prompt = request.call.prompt();
		return (prompt != null) ? prompt.maximumTokens() : 0;
	}

}
