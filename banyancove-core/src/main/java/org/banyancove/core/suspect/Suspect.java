package org.banyancove.core.suspect;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * A request that was running at an endpoint when it crashed. An entity of
 * {@link SuspectTable}.
 */
final class Suspect {

	/** Crashes recorded per suspect; more would add no evidence. */
	private static final int MAXIMUM_CRASHES = 6;

	/**
	 * The weight of a loss in a wave. At zero, a request that crashes endpoints could
	 * continue for the duration of a wave (60 crashes by one request in a simulation). A
	 * harmless request is rarely affected by the wave again at its next endpoint.
	 */
	private static final double WEIGHT_IN_WAVE = 0.5;

	private final Fingerprint fingerprint;

	private final List<Crash> crashes = new ArrayList<>(2);

	private @Nullable Instant clearedAt;

	private boolean confirmed;

	private Instant lastSeen;

	Suspect(Fingerprint fingerprint, Instant now) {
		this.fingerprint = fingerprint;
		this.lastSeen = now;
	}

	Fingerprint fingerprint() {
		return this.fingerprint;
	}

	List<Crash> crashes() {
		return this.crashes;
	}

	Optional<Instant> clearedAt() {
		return Optional.ofNullable(this.clearedAt);
	}

	Instant lastSeen() {
		return this.lastSeen;
	}

	boolean isConfirmed() {
		return this.confirmed;
	}

	void confirm() {
		this.confirmed = true;
	}

	void updateLastSeen(Instant now) {
		this.lastSeen = now;
	}

	/**
	 * Adds a crash, or marks a recorded one as possibly part of a wave.
	 * @param crash the crash
	 */
	void addCrash(Crash crash) {
		if (this.clearedAt != null && !crash.at().isAfter(this.clearedAt)) {
			return;
		}
		for (int i = 0; i < this.crashes.size(); i++) {
			if (this.crashes.get(i).isSameAs(crash)) {
				this.crashes.set(i, (crash.inWave() ? this.crashes.get(i).asInWave() : this.crashes.get(i)));
				return;
			}
		}
		if (this.crashes.size() < MAXIMUM_CRASHES) {
			this.crashes.add(crash);
		}
	}

	/**
	 * Returns the total weight of the crashes, in which those in a wave count half.
	 * @return the weight of the crashes
	 */
	double weight() {
		double weight = 0;
		for (Crash crash : this.crashes) {
			weight += (crash.inWave() ? WEIGHT_IN_WAVE : 1);
		}
		return weight;
	}

	void clear(Instant at) {
		if (this.clearedAt == null || at.isAfter(this.clearedAt)) {
			this.clearedAt = at;
			this.crashes.removeIf((crash) -> !crash.at().isAfter(at));
		}
	}

	void removeCrash(Crash crash) {
		this.crashes.removeIf(crash::isSameAs);
	}

	boolean ranAt(Crash crash) {
		return this.crashes.stream().anyMatch(crash::isSameAs);
	}

	Instant lastCrashAt() {
		Instant last = Instant.MIN;
		for (Crash crash : this.crashes) {
			last = (crash.at().isAfter(last) ? crash.at() : last);
		}
		return last;
	}

}
