package org.banyancove.gateway.shared;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.FullHttpRequest;
import org.banyancove.gateway.migration.SourceAnswer;

/**
 * Writes the calls that move streams from one endpoint to another, and reads their
 * answers.
 */
public interface StreamMoveCodec {

	/**
	 * Creates the request that asks an endpoint to stop a run and copy it.
	 * @param source the address of the endpoint
	 * @param requestId the id of the caller's request
	 * @param destination the address of the endpoint to copy the run to
	 * @return the request
	 */
	FullHttpRequest moveRequest(InetSocketAddress source, String requestId, InetSocketAddress destination);

	/**
	 * Reads the answer to a request that asks for a move.
	 * @param status the HTTP status
	 * @param body the body
	 * @return the answer, {@link SourceAnswer.Unknown} if it cannot be read
	 */
	SourceAnswer readAnswer(int status, byte[] body);

	/**
	 * Creates the request that frees a run that is not continued.
	 * @param run the run
	 * @return the request to its source
	 */
	FullHttpRequest releaseRequest(StoppedRun run);

}
