package org.banyancove.entry.platform;

import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.membership.PeerSeed;
import org.banyancove.platform.ListedVm;
import org.banyancove.platform.VmList;
import org.banyancove.platform.VmRole;
import org.banyancove.platform.VmState;

/**
 * The candidate addresses of other entries: those of the settings and of listed entry
 * VMs.
 */
public final class PeerSeeds {

	private final List<String> configured;

	/**
	 * Creates the seeds.
	 * @param configured the addresses from the settings
	 */
	public PeerSeeds(List<String> configured) {
		this.configured = List.copyOf(configured);
	}

	/**
	 * Returns the seeds of the settings, for use before the list of VMs is available.
	 * @return the seeds
	 */
	public List<PeerSeed> entries() {
		return this.configured.stream().map((address) -> new PeerSeed(address, null, false)).toList();
	}

	List<PeerSeed> entries(VmList vms) {
		List<PeerSeed> seeds = new ArrayList<>(entries());
		for (ListedVm vm : vms.vms()) {
			String address = vm.address();
			if (vm.role() == VmRole.ENTRY && address != null) {
				seeds.add(new PeerSeed(address, vm.id(), vm.state() == VmState.LEAVING));
			}
		}
		return seeds;
	}

}
