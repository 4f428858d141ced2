package org.banyancove.core.planner;

import org.banyancove.core.VmId;

/**
 * The commands of a {@link PlannerSystem}. Each returns immediately; its result is passed
 * to the system later, on the system's thread.
 */
public interface PlannerPort {

	/**
	 * Appends a record to the stream of leases, without retries.
	 * @param record the record
	 */
	void append(LeaseRecord record);

	/**
	 * Lists the VMs started with the data center's tokens.
	 * @param request the request's number, higher than all earlier ones
	 */
	void list(long request);

	/**
	 * Starts a VM.
	 * @param token the client token
	 * @param kind the kind of VM
	 */
	void start(ClientToken token, VmKind kind);

	/**
	 * Stops a VM. The list confirms the stop.
	 * @param vm the VM
	 */
	void stop(VmId vm);

	/**
	 * Orders an engine to change to a state.
	 * @param vm the engine's VM
	 * @param fence the fencing number
	 * @param state the desired state
	 */
	void order(VmId vm, long fence, EngineState state);

	/**
	 * Reads an engine's state.
	 * @param vm the engine's VM
	 */
	void readBack(VmId vm);

}
