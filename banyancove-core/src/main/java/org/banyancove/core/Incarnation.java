package org.banyancove.core;

/**
 * One run of a process: a restart on the same VM is another incarnation.
 *
 * @param vm the VM on which the process runs
 * @param start a random number drawn when the process started
 */
public record Incarnation(VmId vm, long start) {

	private static final char SEPARATOR = '#';

	/**
	 * Parses an incarnation from the result of {@link #toString()}.
	 * @param text the text
	 * @return the incarnation
	 * @throws IllegalArgumentException if the text is not an incarnation
	 */
	public static Incarnation parse(String text) {
		int separator = text.lastIndexOf(SEPARATOR);
		if (separator < 0) {
			throw new IllegalArgumentException("Incarnation must have the form vm#start: '" + text + "'");
		}
		long start = Long.parseUnsignedLong(text.substring(separator + 1), 16);
		return new Incarnation(new VmId(text.substring(0, separator)), start);
	}

	@Override
	public String toString() {
		return this.vm + String.valueOf(SEPARATOR) + Long.toHexString(this.start);
	}

}
