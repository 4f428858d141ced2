package org.banyancove.program;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * Parses and formats socket addresses in the form used in settings:
 * {@code 127.0.0.1:8080}.
 */
public final class SocketAddressText {

	private static final Pattern NUMERIC = Pattern.compile("[0-9.]+:[0-9]{1,5}");

	private SocketAddressText() {
	}

	/**
	 * Formats an address.
	 * @param address the resolved address
	 * @return the host and port
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * Parses an address.
	 * @param text the host and port
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("an address must have the form host:port: '" + text + "'");
		}
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	/**
	 * Parses a numeric address. Never resolves a host name, which would block the calling
	 * thread.
	 * @param text the IPv4 address and port
	 * @return the address
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static InetSocketAddress parseNumeric(String text) {
		if (!NUMERIC.matcher(text).matches()) {
			throw new IllegalArgumentException("an address must have the form 1.2.3.4:5: '" + text + "'");
		}
		return parse(text);
	}

}
