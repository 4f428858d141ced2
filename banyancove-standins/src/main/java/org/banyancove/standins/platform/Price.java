package org.banyancove.standins.platform;

/**
 * The price of a VM.
 *
 * @param zone the zone
 * @param machineClass the machine class
 * @param reclaimable whether the VM may be reclaimed
 * @param perHour the price per hour
 */
public record Price(String zone, String machineClass, boolean reclaimable, double perHour) {

	/**
	 * Parses a price in command line format.
	 * @param text {@code zone,class,reclaimable|on-demand,perHour}
	 * @return the price
	 * @throws IllegalArgumentException if the text has another format
	 */
	public static Price parse(String text) {
		String[] fields = text.split(",", -1);
		if (fields.length != 4) {
			throw new IllegalArgumentException(
					"A price must have the form zone,class,reclaimable|on-demand,perHour: '" + text + "'");
		}
		return new Price(fields[0], fields[1], fields[2].equals("reclaimable"), Double.parseDouble(fields[3]));
	}

}
