package org.banyancove.gateway.resumption;

import java.util.function.Consumer;

import org.banyancove.gateway.configuration.Route;
import org.jspecify.annotations.Nullable;

/**
 * The origins of the streams that the gateways of the fleet began.
 */
public interface StreamOrigins {

	/**
	 * Records that the first event of a stream is about to be forwarded.
	 * @param stream the stream
	 * @param route its route
	 * @param origin its origin
	 */
	void record(StreamKey stream, Route route, StreamOrigin origin);

	/**
	 * Finds the origin of a stream. A stream whose origin is not certain has none.
	 * @param stream the stream
	 * @param route the route of the request that resumes it
	 * @param listener receives the origin, or {@code null}, once; possibly before this
	 * method returns
	 */
	void find(StreamKey stream, Route route, Consumer<@Nullable KnownOrigin> listener);

}
