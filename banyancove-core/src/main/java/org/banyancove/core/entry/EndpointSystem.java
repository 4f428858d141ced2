package org.banyancove.core.entry;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

import org.banyancove.core.EndpointId;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.routing.Endpoint;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.suspect.SuspectSystem;

/**
 * Updates the table of endpoints from the platform's list, which lags, and from its
 * reclaim notices, which do not.
 */
final class EndpointSystem {

	private final EndpointTable endpoints;

	private final SuspectSystem suspects;

	private final InstantSource clock;

	private final TreeMap<VmId, Instant> notices = new TreeMap<>();

	private final Set<EndpointId> leaving = new HashSet<>();

	private final List<LeavingVm> leavingVms = new ArrayList<>();

	EndpointSystem(EndpointTable endpoints, SuspectSystem suspects, InstantSource clock) {
		this.endpoints = endpoints;
		this.suspects = suspects;
		this.clock = clock;
	}

	// Applies a list. A leaving VM on the list is marked at once. A VM missing from
	// the list is gone, since the list may lack a VM that just started but never
	// drops a live one.
	void applyList(EntryEvent.VmsListed list) {
		Set<EndpointId> listedIds = new HashSet<>();
		for (EndpointDefinition definition : list.live()) {
			listedIds.add(definition.id());
		}
		this.endpoints.applyList(list.live(), list.asOf());
		list.leaving().forEach(this::applyNotice);
		removeMissing(listedIds);
	}

	// Applies a reclaim notice: the VM's endpoints receive no new requests from now
	// on.
	void applyNotice(EntryEvent.ReclaimNotice notice) {
		boolean first = this.notices.putIfAbsent(notice.vm(), notice.reclaimAt()) == null;
		List<EndpointId> onVm = List.copyOf(this.endpoints.onVm(notice.vm()));
		boolean newEndpoints = this.leaving.addAll(onVm);
		if (!first && !newEndpoints) {
			return;
		}
		for (EndpointId id : onVm) {
			ZoneName zone = this.endpoints.find(id).orElseThrow().definition().zone();
			this.suspects.reclaimNoticeReceived(notice.vm(), zone);
		}
		this.endpoints.markLeaving(notice.vm(), notice.reclaimAt(), this.clock.instant());
		this.leavingVms.add(new LeavingVm(notice.vm(), onVm, notice.reclaimAt()));
	}

	boolean isLeaving(VmId vm) {
		return this.notices.containsKey(vm);
	}

	List<EndpointId> leaving() {
		return List.copyOf(this.leaving);
	}

	// Returns and clears the VMs whose reclaim was announced since the last call.
	List<LeavingVm> drainLeavingVms() {
		List<LeavingVm> drained = List.copyOf(this.leavingVms);
		this.leavingVms.clear();
		return drained;
	}

	private void removeMissing(Set<EndpointId> listedIds) {
		Instant now = this.clock.instant();
		List<EndpointId> missing = new ArrayList<>();
		for (Endpoint endpoint : this.endpoints.all()) {
			if (!listedIds.contains(endpoint.id())) {
				missing.add(endpoint.id());
			}
		}
		for (EndpointId id : missing) {
			this.endpoints.remove(id, now);
			this.leaving.remove(id);
		}
	}

	/**
	 * A VM that is about to be reclaimed.
	 *
	 * @param vm the VM
	 * @param endpoints the endpoints on the VM
	 * @param reclaimAt the time of the reclaim
	 */
	record LeavingVm(VmId vm, List<EndpointId> endpoints, Instant reclaimAt) {

	}

}
