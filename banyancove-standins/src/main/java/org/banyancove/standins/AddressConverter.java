package org.banyancove.standins;

import java.net.InetSocketAddress;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;

/**
 * Converts a loopback address in the form {@code 127.0.0.1:port}.
 */
public final class AddressConverter implements IStringConverter<InetSocketAddress> {

	@Override
	public InetSocketAddress convert(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			throw new ParameterException("an address must have the form host:port: '" + text + "'");
		}
		InetSocketAddress address = new InetSocketAddress(text.substring(0, colon),
				Integer.parseInt(text.substring(colon + 1)));
		if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
			throw new ParameterException("an address must be on the loopback interface: '" + text + "'");
		}
		return address;
	}

}
