package org.banyancove.core.stream;

import java.util.List;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerReader;
import org.banyancove.core.answer.EndOfAnswer;
import org.banyancove.core.answer.Piece;

/**
 * The commands of {@link StreamSystem} to the enclosing entry.
 */
public sealed interface StreamCommand {

	/**
	 * Returns the request to which the command applies.
	 * @return the request
	 */
	RequestId request();

	/**
	 * Requests an endpoint. {@link StreamSystem#placed} or {@link StreamSystem#notPlaced}
	 * must be called with the result.
	 *
	 * @param request the request
	 * @param excluded endpoints that failed it or are leaving
	 */
	record Place(RequestId request, Set<EndpointId> excluded) implements StreamCommand {

		public Place {
			excluded = Set.copyOf(excluded);
		}

	}

	/**
	 * Starts the stream from the beginning.
	 *
	 * @param request the request
	 * @param attempt the attempt of its pieces
	 * @param endpoint the endpoint
	 */
	record Start(RequestId request, int attempt, EndpointId endpoint) implements StreamCommand {

	}

	/**
	 * Reattaches to the stream at its endpoint over a new connection.
	 *
	 * @param request the request
	 * @param attempt the attempt of its pieces
	 * @param endpoint the endpoint
	 * @param fromOffset the offset of the first requested token
	 */
	record Reattach(RequestId request, int attempt, EndpointId endpoint, long fromOffset) implements StreamCommand {

	}

	/**
	 * Continues the stream at another endpoint.
	 *
	 * @param request the request
	 * @param attempt the attempt of its pieces
	 * @param endpoint the endpoint
	 * @param fromOffset the offset of the next token
	 * @param text the text of the tokens so far
	 */
	record Continue(RequestId request, int attempt, EndpointId endpoint, long fromOffset,
			String text) implements StreamCommand {

	}

	/**
	 * Copies the stream's KV cache to another endpoint. {@link StreamSystem#cacheMoved}
	 * must be called with the result.
	 *
	 * @param request the request
	 * @param source the endpoint that exports it
	 * @param target the endpoint that imports it
	 */
	record MoveCache(RequestId request, EndpointId source, EndpointId target) implements StreamCommand {

	}

	/**
	 * Closes the connection of a replaced attempt, whose pieces are already stale.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param endpoint the endpoint
	 * @param cancel whether the endpoint must also cancel the stream
	 */
	record Close(RequestId request, int attempt, EndpointId endpoint, boolean cancel) implements StreamCommand {

	}

	/**
	 * Delivers pieces to the caller's connections. Each connection filters the pieces by
	 * its {@link AnswerReader}.
	 *
	 * @param request the request
	 * @param pieces the pieces, in order and without gap
	 */
	record Deliver(RequestId request, List<Piece> pieces) implements StreamCommand {

		public Deliver {
			pieces = List.copyOf(pieces);
		}

	}

	/**
	 * Ends the answer. No piece is delivered afterwards.
	 *
	 * @param request the request
	 * @param totalOffset the offset after the last token
	 * @param end the end of the answer
	 */
	record End(RequestId request, long totalOffset, EndOfAnswer end) implements StreamCommand {

	}

}
