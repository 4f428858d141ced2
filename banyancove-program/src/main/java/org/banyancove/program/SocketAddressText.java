package org.banyancove.program;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * Socket addresses as people write them in settings: {@code 127.0.0.1:8080}.
 */
public final class SocketAddressText {

	private static final Pattern NUMERIC = Pattern.compile("[0-9.]+:[0-9]{1,5}");

	private SocketAddressText() {
	}

	/**
	 * Writes an address.
	 * @param address the address, resolved
	 * @return the host and port
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * Reads an address.
	 * @param text the host and port
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("an address must have the form host:port: '" + text + "'");
		}
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * Reads an address without looking a name up, which would hold up the calling thread.
	 * @param text the IPv4 address and port
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static InetSocketAddress parseNumeric(String text) {
		if (!NUMERIC.matcher(text).matches()) {
			throw new IllegalArgumentException("an address must have the form 1.2.3.4:5: '" + text + "'");
		}
		return parse(text);
	}

}
