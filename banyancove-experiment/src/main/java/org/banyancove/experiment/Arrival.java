package org.banyancove.experiment;

import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.routing.PromptPrefix;

/**
 * A request sent by a caller.
 *
 * @param at the time in seconds from the start
 * @param request the request's identifier
 * @param service the service
 * @param account the account
 * @param isLargeAccount whether the account is a large one
 * @param prefixes the prompt's prefixes, the shortest first
 * @param promptTokens the tokens of the prompt, 1 for a plain service
 * @param outputTokens the tokens of the answer, 0 for a plain service
 * @param serviceSeconds the service time of a plain service at nominal speed
 */
record Arrival(double at, RequestId request, ServiceName service, AccountName account, boolean isLargeAccount,
		List<PromptPrefix> prefixes, int promptTokens, int outputTokens, double serviceSeconds) {

	boolean isModel() {
		return this.service.equals(UserModel.MODEL);
	}

}
