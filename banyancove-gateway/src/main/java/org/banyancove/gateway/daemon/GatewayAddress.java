package org.banyancove.gateway.daemon;

import java.net.InetSocketAddress;
import java.util.Locale;

import org.banyancove.core.DataCenterName;
import org.banyancove.gateway.tunnel.TunnelPeer;
import org.banyancove.program.SocketAddressText;

/**
 * The address at which a gateway listens for other gateways' datagrams and tunnels, as
 * stored in its record of the gateways' topic.
 *
 * @param name the name of its VM
 * @param address the socket address
 * @param dataCenter its data centre
 * @param processorShare the processor share of its VM, in cores
 */
record GatewayAddress(String name, InetSocketAddress address, DataCenterName dataCenter, double processorShare) {

	private static final int FIELD_COUNT = 3;

	TunnelPeer toTunnelPeer() {
		return new TunnelPeer(this.name, this.address, this.dataCenter);
	}

	/**
	 * Returns the value of the record.
	 * @return the address, the data centre and the processor share
	 */
	String format() {
		return String.format(Locale.ROOT, "%s %s %.2f", SocketAddressText.format(this.address), this.dataCenter.value(),
				this.processorShare);
	}

	/**
	 * Parses a record.
	 * @param name the key of the record
	 * @param value the value of the record
	 * @return the address
	 * @throws IllegalArgumentException if the value is malformed
	 */
	static GatewayAddress parse(String name, String value) {
		String[] fields = value.split(" ", -1);
		if (fields.length != FIELD_COUNT) {
			throw new IllegalArgumentException("value must have " + FIELD_COUNT + " fields: '" + value + "'");
		}
		return new GatewayAddress(name, SocketAddressText.parseNumeric(fields[0]), new DataCenterName(fields[1]),
				Double.parseDouble(fields[2]));
	}

}
