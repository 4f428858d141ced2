package org.banyancove.standins.load;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The options of a load.
 *
 * @param target the URIs of the system
 * @param direct the URIs of the stand-ins for direct calls, or {@code null}
 * @param volume the number and rate of requests
 * @param chats the properties of chats
 * @param calls the properties of plain calls
 * @param credentials the credentials of the accounts; a repeated credential is used
 * proportionally more often
 * @param seed the seed of the random number generator
 */
public record LoadOptions(Side target, @Nullable Side direct, Volume volume, Chats chats, Calls calls,
		List<String> credentials, long seed) {

	/**
	 * Creates the options with a copy of the list.
	 */
	public LoadOptions {
		credentials = List.copyOf(credentials);
	}

	private static void requireLoopback(URI uri) {
		try {
			if (uri.getHost() == null || !InetAddress.getByName(uri.getHost()).isLoopbackAddress()) {
				throw new IllegalArgumentException("Load goes to loopback only, not to '" + uri + "'");
			}
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("Load goes to loopback only, not to '" + uri + "'", ex);
		}
	}

	private static void requireBetween(String name, double value, double minimum, double maximum) {
		if (value < minimum || value > maximum) {
			throw new IllegalArgumentException(
					name + " must be from " + minimum + " to " + maximum + " but is " + value);
		}
	}

	/**
	 * The URIs of one side.
	 *
	 * @param chatBase the scheme, host and port for chats
	 * @param model the model named in chats
	 * @param callBase the scheme, host and port for plain calls
	 * @param callPath the path of plain calls
	 */
	public record Side(URI chatBase, String model, URI callBase, String callPath) {

		/**
		 * Creates the side.
		 * @throws IllegalArgumentException if a host is not on the loopback interface
		 */
		public Side {
			requireLoopback(chatBase);
			requireLoopback(callBase);
		}

	}

	/**
	 * The number and rate of requests.
	 *
	 * @param requests the number of measured requests on each side
	 * @param warmUp the number of unmeasured requests before them
	 * @param concurrency the maximum number of requests in flight
	 * @param perSecond the request rate of an open loop, or zero for a closed loop, which
	 * sends a request whenever another one completes
	 * @param timeout the timeout of one request
	 */
	public record Volume(int requests, int warmUp, int concurrency, double perSecond, Duration timeout) {

		/**
		 * Creates the volume.
		 * @throws IllegalArgumentException if a number exceeds what is reasonable on one
		 * machine
		 */
		public Volume {
			requireBetween("requests", requests, 1, 1_000_000);
			requireBetween("warmUp", warmUp, 0, 1_000_000);
			requireBetween("concurrency", concurrency, 1, 2_000);
			requireBetween("perSecond", perSecond, 0, 20_000);
		}

	}

	/**
	 * The properties of chats.
	 *
	 * @param share the share of chats among all requests
	 * @param streamedShare the share of streamed chats among all chats
	 * @param promptWords the number of words in a prompt
	 * @param prefixes the number of shared prompt prefixes, each three quarters of the
	 * words, from which a prompt selects one
	 * @param maxTokens the requested number of tokens
	 * @param answerModel the model whose text is expected, or empty to skip the check
	 */
	public record Chats(double share, double streamedShare, int promptWords, int prefixes, int maxTokens,
			String answerModel) {

		/**
		 * Creates the chats.
		 * @throws IllegalArgumentException if a number is out of bounds
		 */
		public Chats {
			requireBetween("share", share, 0, 1);
			requireBetween("streamedShare", streamedShare, 0, 1);
			requireBetween("promptWords", promptWords, 1, 100_000);
			requireBetween("prefixes", prefixes, 1, 100_000);
			requireBetween("maxTokens", maxTokens, 1, 100_000);
		}

	}

	/**
	 * The properties of plain calls.
	 *
	 * @param keyPrefix the prefix of idempotency keys, unique for each run
	 * @param keyed whether calls have idempotency keys
	 */
	public record Calls(String keyPrefix, boolean keyed) {
	}

}
