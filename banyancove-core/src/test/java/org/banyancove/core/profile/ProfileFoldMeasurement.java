package org.banyancove.core.profile;

import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.sun.management.ThreadMXBean;

/**
 * Measures the replay of the stream at several sizes: time and allocation per change, and
 * bytes retained per profile. A program rather than a test, since its figures depend on
 * the machine.
 */
public final class ProfileFoldMeasurement {

	private static final int CHANGES = 400_000;

	private static final int[] SIZES = { 10, 100, 1_000, 10_000 };

	private static final int[] RETAINED_SIZES = { 10_000, 50_000, 100_000 };

	private ProfileFoldMeasurement() {
	}

	/**
	 * Prints one line for each size.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		System.out.println("profiles kept-bytes-per-profile");
		for (int size : RETAINED_SIZES) {
			System.out.printf("%d %d%n", size, retainedBytes(size));
		}
		for (int size : SIZES) {
			replay(size, entries(size));
		}
		System.out.println("profiles ns-per-change allocated-bytes-per-change state-export-us");
		for (int size : SIZES) {
			measure(size);
		}
	}

	private static void measure(int size) {
		List<ProfileEntry> entries = entries(size);
		ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
		long allocated = threads.getCurrentThreadAllocatedBytes();
		long started = System.nanoTime();
		ProfileTable table = replay(size, entries);
		long nanos = System.nanoTime() - started;
		allocated = threads.getCurrentThreadAllocatedBytes() - allocated;
		long exportStarted = System.nanoTime();
		ProfileTableState state = table.exportState();
		long exportNanos = System.nanoTime() - exportStarted;
		System.out.printf("%d %d %d %d%n", state.profiles().size(), nanos / entries.size(), allocated / entries.size(),
				exportNanos / 1000);
	}

	private static List<ProfileEntry> entries(int size) {
		List<ProfileEntry> entries = new ArrayList<>();
		long[] revisions = new long[size];
		for (int i = 0; i < CHANGES; i++) {
			int name = i % size;
			long expected = (i < size) ? ProfileTable.NO_REVISION : revisions[name];
			revisions[name] = i;
			entries.add(new ProfileEntry(i, Instant.EPOCH,
					Samples.change("record-" + i, expected, "profile-" + name, i % 10)));
		}
		return entries;
	}

	private static ProfileTable replay(int size, List<ProfileEntry> entries) {
		ProfileTable table = new ProfileTable();
		entries.forEach(table::apply);
		if (table.profiles().size() != size) {
			throw new IllegalStateException("size must be " + size + ": " + table.profiles().size());
		}
		return table;
	}

	private static long retainedBytes(int size) {
		long before = usedBytes();
		ProfileTable table = new ProfileTable();
		for (int i = 0; i < size; i++) {
			table.apply(new ProfileEntry(i, Instant.EPOCH,
					Samples.change("record-" + i, ProfileTable.NO_REVISION, "profile-" + i, 1)));
		}
		long bytes = usedBytes() - before;
		return bytes / table.profiles().size();
	}

	/**
	 * Returns the bytes in use. The collector compacts the complete heap only at every
	 * fourth full collection and leaves some garbage in place at the others, hence the
	 * minimum of eight collections.
	 * @return the bytes
	 */
	private static long usedBytes() {
		long minimum = Long.MAX_VALUE;
		for (int i = 0; i < 8; i++) {
			System.gc();
			minimum = Math.min(minimum, Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
		}
		return minimum;
	}

}
