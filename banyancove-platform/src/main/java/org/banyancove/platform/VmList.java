package org.banyancove.platform;

import java.time.Instant;
import java.util.List;

/**
 * The platform's list of VMs, which lags behind their actual state.
 *
 * @param asOf the time at which the list was current
 * @param vms the VMs
 */
public record VmList(Instant asOf, List<ListedVm> vms) {

	/**
	 * Creates the list with an immutable copy of its VMs.
	 */
	public VmList {
		vms = List.copyOf(vms);
	}

}
