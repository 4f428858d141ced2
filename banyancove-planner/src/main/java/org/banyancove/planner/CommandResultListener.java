package org.banyancove.planner;

import java.util.List;

import org.banyancove.core.VmId;
import org.banyancove.core.planner.ClientToken;
import org.banyancove.core.planner.CloudVm;
import org.banyancove.core.planner.OrderResult;
import org.banyancove.core.planner.StartResult;

/**
 * Receives the results of the planner's commands. Called on any thread.
 */
interface CommandResultListener {

	/**
	 * Receives the VMs of a list request.
	 * @param request the request's number
	 * @param vms the listed VMs
	 */
	void vmsListed(long request, List<CloudVm> vms);

	/**
	 * Receives the result of a start.
	 * @param token the client token of the start
	 * @param result the result
	 */
	void startAnswered(ClientToken token, StartResult result);

	/**
	 * Receives the result of an order or a read-back.
	 * @param vm the engine's VM
	 * @param result the result
	 */
	void orderAnswered(VmId vm, OrderResult result);

}
