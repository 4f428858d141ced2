package org.banyancove.gateway.exchange;

import java.net.InetSocketAddress;

import org.banyancove.http.FramingViolation;
import org.jspecify.annotations.Nullable;

/**
 * Receives the framing violations of a gateway's connections, on the event loop thread.
 */
public interface FramingListener {

	/**
	 * Called when bytes on a connection are not part of the expected response.
	 * @param address the address of the server
	 * @param requestId the request whose response was expected, or {@code null} if none
	 * was, or the call has no id
	 * @param violation what was found
	 */
	void framingViolated(InetSocketAddress address, @Nullable String requestId, FramingViolation violation);

}
