package org.banyancove.gateway.endpoint;

import java.net.InetSocketAddress;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * An endpoint's entry in the list of endpoints, as the endpoint reports it.
 *
 * @param id the endpoint's identifier
 * @param service the service that it runs
 * @param version its software version; empty if unknown
 * @param address the address that it listens on
 * @param dataCenter its data centre
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it accepts no new requests because it is shutting down
 * @param reclaimable whether its VM is reclaimable
 * @param startedAt its start time, in Unix milliseconds; 0 if unknown
 * @param leavesAt when it leaves, in nanoseconds of the monotonic clock, or {@code null}
 * if it has not announced that
 */
public record EndpointEntry(EndpointId id, ServiceName service, String version, InetSocketAddress address,
		DataCenterName dataCenter, int slots, boolean draining, boolean reclaimable, long startedAt,
		@Nullable Long leavesAt) {

	/**
	 * Creates the entry.
	 * @throws IllegalArgumentException if {@code slots} is below 1
	 */
	public EndpointEntry {
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be at least 1: " + slots);
		}
	}

	/**
	 * Creates the entry of an endpoint that has not announced when it leaves.
	 * @param id the endpoint's identifier
	 * @param service the service that it runs
	 * @param version its software version; empty if unknown
	 * @param address the address that it listens on
	 * @param dataCenter its data centre
	 * @param slots the number of requests that it runs concurrently
	 * @param draining whether it accepts no new requests because it is shutting down
	 * @param reclaimable whether its VM is reclaimable
	 * @param startedAt its start time, in Unix milliseconds; 0 if unknown
	 */
	public EndpointEntry(EndpointId id, ServiceName service, String version, InetSocketAddress address,
			DataCenterName dataCenter, int slots, boolean draining, boolean reclaimable, long startedAt) {
		this(id, service, version, address, dataCenter, slots, draining, reclaimable, startedAt, null);
	}

	/**
	 * Returns this entry with the time of leaving that an earlier entry stated first. An
	 * entry is repeated with the remaining time, from which each reading gives a slightly
	 * different time.
	 * @param earlier the earlier entry
	 * @return the entry, unchanged if the earlier one stated no time or describes another
	 * process
	 */
	EndpointEntry keepingLeaveTime(EndpointEntry earlier) {
		if (!this.draining || earlier.leavesAt == null || !sameIncarnation(earlier)) {
			return this;
		}
		return new EndpointEntry(this.id, this.service, this.version, this.address, this.dataCenter, this.slots, true,
				this.reclaimable, this.startedAt, earlier.leavesAt);
	}

	/**
	 * Returns whether two entries describe the same process.
	 * @param other the other entry
	 * @return {@code false} if the endpoint was restarted or replaced
	 */
	public boolean sameIncarnation(EndpointEntry other) {
		return this.startedAt == other.startedAt && this.version.equals(other.version)
				&& this.address.equals(other.address) && this.service.equals(other.service);
	}

}
