package org.banyancove.core.handover;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Incarnation;
import org.banyancove.core.RequestId;
import org.banyancove.core.answer.AnswerBuffer;
import org.banyancove.core.peer.HeldRequest;
import org.banyancove.core.peer.Progress;
import org.jspecify.annotations.Nullable;

/**
 * The callbacks of {@link HandoverSystem} to the enclosing entry. Called on the tick
 * thread.
 */
public interface HandoverPort {

	/**
	 * Called when a request is accepted and may be started.
	 * @param request the request
	 * @param alone whether no peer holds the request
	 */
	void accepted(RequestId request, boolean alone);

	/**
	 * Called when this process becomes the owner of a request and must complete it: by
	 * reattaching to the stream at its endpoint, by resuming from the tokens so far, or
	 * by restarting, in this order of preference.
	 * @param held the request; never an at-most-once call
	 * @param progress the answer so far, from offset 0
	 */
	void takeOver(HeldRequest held, Progress progress);

	/**
	 * Called when this process becomes responsible for answering the callers of an
	 * at-most-once call. Only the claimant of its key determines whether the call runs.
	 * @param held the request
	 */
	void adoptKeyed(HeldRequest held);

	/**
	 * Called when another process has become the owner of a request. This process must
	 * not deliver any further part of its answer, and waiting callers are served from the
	 * owner. The request may not have been accepted by this process: if its holder takes
	 * it over while this process is paused, the holder thereby accepts it.
	 * @param request the request
	 * @param owner the process that reported the higher ownership number
	 */
	void released(RequestId request, Incarnation owner);

	/**
	 * Returns the answer of a request that this process owns.
	 * @param request the request
	 * @return the answer, or {@code null} if the request has no stream
	 */
	@Nullable AnswerBuffer answer(RequestId request);

	/**
	 * Returns the endpoint that runs the stream of a request.
	 * @param request the request
	 * @return the endpoint, or {@code null} if there is none
	 */
	@Nullable EndpointId endpoint(RequestId request);

}
