package org.banyancove.gateway.daemon;

import java.util.Map;

import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamKey;
import org.jspecify.annotations.Nullable;

/**
 * A message between gateways about the origins of streams.
 */
sealed interface StreamOriginMessage extends PeerMessage {

	/**
	 * Origins for the receiver to remember.
	 *
	 * @param origins the origins by stream
	 */
	record Replication(Map<StreamKey, KnownOrigin> origins) implements StreamOriginMessage {

		public Replication {
			origins = Map.copyOf(origins);
		}

	}

	/**
	 * A query for the origin of a stream.
	 *
	 * @param number identifies the query at its sender
	 * @param stream the stream
	 * @param host the host of its route
	 * @param pathPrefix the path prefix of its route
	 */
	record Query(long number, StreamKey stream, String host, String pathPrefix) implements StreamOriginMessage {
	}

	/**
	 * The reply to a query.
	 *
	 * @param number the number of the query
	 * @param origin the origin, or {@code null} if it is unknown here; that of the only
	 * version of the route's service only if there is no record of the stream
	 */
	record Reply(long number, @Nullable KnownOrigin origin) implements StreamOriginMessage {
	}

}
