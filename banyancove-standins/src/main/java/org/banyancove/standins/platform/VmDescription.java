package org.banyancove.standins.platform;

import org.jspecify.annotations.Nullable;

/**
 * A VM in the platform's list.
 *
 * @param id the identifier
 * @param dataCenter the data centre
 * @param zone the zone
 * @param machineClass the machine class
 * @param role {@code entry}, {@code engine} or {@code service}
 * @param service the service it belongs to, or {@code null} for an entry
 * @param address the address that the VM's process listens on, as {@code 127.0.0.1:port}
 * @param state the state
 * @param reclaimAt the time at which the VM is reclaimed, in ISO 8601, or {@code null}
 */
public record VmDescription(String id, String dataCenter, String zone, String machineClass, String role,
		@Nullable String service, String address, VmState state, @Nullable String reclaimAt) {

	private static final int FIELD_COUNT = 7;

	/**
	 * Parses a live VM in command line format.
	 * @param text {@code id,dataCenter,zone,class,role,service,address}, with an empty
	 * service for an entry
	 * @return the VM
	 * @throws IllegalArgumentException if the text has another format
	 */
	public static VmDescription parse(String text) {
		String[] fields = text.split(",", -1);
		if (fields.length != FIELD_COUNT) {
			throw new IllegalArgumentException(
					"A VM must have the form id,dataCenter,zone,class,role,service,address: '" + text + "'");
		}
		String service = fields[5].isEmpty() ? null : fields[5];
		return new VmDescription(fields[0], fields[1], fields[2], fields[3], fields[4], service, fields[6],
				VmState.LIVE, null);
	}

	/**
	 * Returns this VM as leaving, with its reclaim time.
	 * @param at the time at which the VM is reclaimed, in ISO 8601
	 * @return the leaving VM
	 */
	public VmDescription leaving(String at) {
		return new VmDescription(this.id, this.dataCenter, this.zone, this.machineClass, this.role, this.service,
				this.address, VmState.LEAVING, at);
	}

}
