package org.banyancove.core.planner;

import java.util.regex.Pattern;

import org.banyancove.core.DataCenterName;

/**
 * The idempotency token of a start: the cloud returns the same VM for the same token.
 *
 * @param value the token's text, never blank
 */
public record ClientToken(String value) {

	private static final Pattern NUMBERS = Pattern.compile("\\d+-\\d+");

	/**
	 * Creates the token.
	 * @throws IllegalArgumentException if {@code value} is blank
	 */
	public ClientToken {
		if (value.isBlank()) {
			throw new IllegalArgumentException("value must not be blank: '" + value + "'");
		}
	}

	/**
	 * Returns the token of a start by a planner.
	 * @param dataCenter the data center for which it plans
	 * @param fence its fencing number, which is unique to it
	 * @param sequence a number that this planner uses once under the fencing number
	 * @return the token
	 */
	public static ClientToken of(DataCenterName dataCenter, long fence, long sequence) {
		return new ClientToken(prefix(dataCenter) + fence + "-" + sequence);
	}

	/**
	 * Returns whether this is a token of a data center. The prefix alone is not
	 * sufficient, since the tokens of {@code a-b} begin with the prefix of {@code a}.
	 * @param dataCenter the data center
	 * @return whether the VM was started for the data center
	 */
	public boolean isOf(DataCenterName dataCenter) {
		String prefix = prefix(dataCenter);
		return this.value.startsWith(prefix) && NUMBERS.matcher(this.value.substring(prefix.length())).matches();
	}

	/**
	 * Returns the common prefix of all tokens of a data center.
	 * @param dataCenter the data center
	 * @return the prefix, by which VMs are listed
	 */
	public static String prefix(DataCenterName dataCenter) {
		return dataCenter + "-";
	}

}
