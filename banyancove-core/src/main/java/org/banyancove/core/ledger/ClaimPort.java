package org.banyancove.core.ledger;

import java.util.List;

import org.banyancove.core.RequestId;

/**
 * The commands of a {@link ClaimSystem}. Each command returns immediately; its result is
 * reported to the system later, on the thread of the system.
 */
public interface ClaimPort {

	/**
	 * Appends records to a slot's stream in a single append, without retries.
	 * @param slot the slot
	 * @param append the identifier to pass to {@link ClaimSystem#appendAnswered}
	 * @param records the records
	 */
	void append(KeySlot slot, AppendId append, List<LedgerRecord> records);

	/**
	 * Sends a claimed call to an endpoint once. The result must be reported to
	 * {@link ClaimSystem#dispatchEnded}, even after the caller has been answered.
	 * @param request the request whose body is sent
	 * @param key the call's key
	 * @param intentOffset the offset of the winning intent, which serves as the fencing
	 * token if the endpoint checks one
	 */
	void dispatch(RequestId request, CallKey key, long intentOffset);

	/**
	 * Sends the final answer to a request.
	 * @param request the request
	 * @param answer the answer
	 */
	void answer(RequestId request, ClaimAnswer answer);

}
