package org.banyancove.platform.profile;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.banyancove.core.ProfileName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTableState;
import org.banyancove.core.profile.PublishedProfile;
import org.banyancove.platform.LogPage;
import org.banyancove.platform.LogRecord;
import org.banyancove.platform.NewRecord;

/**
 * Measures the size and decoding time of the JSON text of a change and of a state. A
 * program rather than a test, because its results depend on the machine.
 */
public final class ProfileRecordCodecMeasurement {

	private static final int ROUNDS = 20;

	private static final int CHANGES = 5_000;

	private static final int[] SIZES = { 10, 100, 1_000, 10_000 };

	private ProfileRecordCodecMeasurement() {
	}

	/**
	 * Prints the cost of a change and one line for each size of state.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		ProfileRecordCodec codec = new ProfileRecordCodec();
		NewRecord change = codec.newRecord(new ProfileRecord.ProfileChanged("record-1", 123_456, profile(1)));
		List<LogRecord> records = new ArrayList<>();
		for (int i = 0; i < CHANGES; i++) {
			records.add(new LogRecord(i, change.id(), change.data(), Instant.EPOCH));
		}
		LogPage page = new LogPage(0, CHANGES, records);
		long best = Long.MAX_VALUE;
		for (int i = 0; i < ROUNDS; i++) {
			long started = System.nanoTime();
			codec.decode(page);
			best = Math.min(best, System.nanoTime() - started);
		}
		System.out.printf("change: %d bytes, best of %d rounds %d ns to read%n",
				change.data().getBytes(StandardCharsets.UTF_8).length, ROUNDS, best / CHANGES);
		System.out.println("profiles state-bytes bytes-per-profile best-read-us");
		for (int size : SIZES) {
			measure(codec, size);
		}
	}

	private static void measure(ProfileRecordCodec codec, int size) {
		List<PublishedProfile> profiles = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			profiles.add(new PublishedProfile(i, profile(i)));
		}
		String text = codec.encode(new ProfileRecord.ProfilesCheckpoint(
				new ProfileTableState(size, profiles, List.of(), List.of(), null)));
		long best = Long.MAX_VALUE;
		for (int i = 0; i < ROUNDS; i++) {
			long started = System.nanoTime();
			codec.decode(text);
			best = Math.min(best, System.nanoTime() - started);
		}
		System.out.printf("%d %d %d %d%n", size, text.length(), text.length() / size, best / 1000);
	}

	private static Profile profile(int number) {
		return new Profile(new ProfileName("profile-" + number), Duration.ofMillis(350), Duration.ofMillis(41),
				Duration.ofMinutes(5), 0.95, 1, PlacementPolicyName.COST_AT_TARGET, 0.1, 0.5, true, 65_536);
	}

}
