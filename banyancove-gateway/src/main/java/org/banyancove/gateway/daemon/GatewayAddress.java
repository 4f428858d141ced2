package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.util.Locale;

import org.banyancove.core.DataCenterName;
import org.banyancove.program.SocketAddressText;

/**
 * Where a gateway listens for the others, as its record in the gateways' topic states.
 *
 * @param name its VM's name
 * @param address where it listens
 * @param dataCenter its data centre
 * @param processorShare its VM's processor share, in cores
 */
record GatewayAddress(String name, InetSocketAddress address, DataCenterName dataCenter, double processorShare) {

	private static final int FIELDS = 3;

	/**
	 * Writes the record's value.
	 * @return the address, the data centre and the processor share
	 */
	String format() {
		return String.format(Locale.ROOT, "%s %s %.2f", SocketAddressText.format(this.address), this.dataCenter.value(),
				this.processorShare);
	}

	/**
	 * Reads a record.
	 * @param name its key
	 * @param value its value
	 * @return the address
	 * @throws IllegalArgumentException if the value has another form
	 */
	static GatewayAddress parse(String name, String value) {
		String[] fields = value.split(" ", -1);
		if (fields.length != FIELDS) {
			throw new IllegalArgumentException("value must have " + FIELDS + " fields: '" + value + "'");
		}
		return new GatewayAddress(name, SocketAddressText.parseNumeric(fields[0]), new DataCenterName(fields[1]),
				Double.parseDouble(fields[2]));
	}

}
