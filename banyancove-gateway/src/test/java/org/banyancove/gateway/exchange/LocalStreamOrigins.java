package org.banyancove.gateway.exchange;

import java.time.Duration;
import java.util.function.Consumer;

import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.resumption.StreamOrigin;
import org.banyancove.gateway.resumption.StreamOriginTable;
import org.banyancove.gateway.resumption.StreamOrigins;
import org.jspecify.annotations.Nullable;

/**
 * The origins of streams in a fleet of one gateway.
 */
final class LocalStreamOrigins implements StreamOrigins {

	private final StreamOriginTable table = new StreamOriginTable();

	@Override
	public void record(StreamKey stream, Route route, StreamOrigin origin) {
		this.table.put(stream, origin, Duration.ZERO, System.nanoTime());
	}

	@Override
	public void find(StreamKey stream, Route route, Consumer<@Nullable KnownOrigin> listener) {
		listener.accept(this.table.find(stream, System.nanoTime()));
	}

}
