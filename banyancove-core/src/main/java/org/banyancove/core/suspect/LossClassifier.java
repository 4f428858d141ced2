package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;

/**
 * Classifies losses of endpoints as crashes, reclaims or waves. In a wave many VMs of a
 * zone are reclaimed, some of them before their notice was received.
 */
final class LossClassifier {

	/** Notices and losses within this time of each other can belong to the same wave. */
	private static final Duration WAVE_WINDOW = Duration.ofMinutes(2);

	/** Losses of a zone without any notice within this time are not coincidental. */
	private static final Duration SUDDEN_WAVE_WINDOW = Duration.ofSeconds(2);

	/** VMs of a zone that must be affected before a loss is attributed to a wave. */
	private static final int MINIMUM_WAVE_VMS = 3;

	private static final int MAXIMUM_NOTICES = 20_000;

	private static final int MAXIMUM_EVENTS_PER_ZONE = 256;

	private final Map<VmId, Notice> notices = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<VmId, Notice> eldest) {
			return size() > MAXIMUM_NOTICES;
		}
	};

	private final Map<ZoneName, Deque<Notice>> zoneNotices = new HashMap<>();

	private final Map<ZoneName, Deque<Loss>> losses = new HashMap<>();

	void recordNotice(VmId vm, ZoneName zone, Instant now) {
		Notice notice = new Notice(vm, now);
		if (this.notices.putIfAbsent(vm, notice) == null) {
			addBounded(this.zoneNotices.computeIfAbsent(zone, (name) -> new ArrayDeque<>()), notice);
		}
	}

	void recordLoss(Loss loss) {
		addBounded(this.losses.computeIfAbsent(loss.zone(), (name) -> new ArrayDeque<>()), loss);
	}

	/**
	 * Returns the losses of a zone whose classification may still change.
	 * @param zone the zone
	 * @return its recent losses
	 */
	List<Loss> recentLosses(ZoneName zone) {
		return List.copyOf(this.losses.getOrDefault(zone, new ArrayDeque<>()));
	}

	LossCause classify(Loss loss) {
		if (this.notices.containsKey(loss.vm())) {
			return LossCause.RECLAIM;
		}
		return ((isNoticedWave(loss) || isSuddenWave(loss)) ? LossCause.WAVE : LossCause.CRASH);
	}

	void removeExpired(Instant now) {
		Instant oldest = now.minus(WAVE_WINDOW);
		this.zoneNotices.values().forEach((list) -> list.removeIf((notice) -> notice.at().isBefore(oldest)));
		this.zoneNotices.values().removeIf(Deque::isEmpty);
		this.losses.values().forEach((list) -> list.removeIf((loss) -> loss.crash().at().isBefore(oldest)));
		this.losses.values().removeIf(Deque::isEmpty);
	}

	private boolean isNoticedWave(Loss loss) {
		Set<VmId> affected = new HashSet<>();
		for (Notice notice : this.zoneNotices.getOrDefault(loss.zone(), new ArrayDeque<>())) {
			if (isWithin(WAVE_WINDOW, notice.at(), loss.crash().at())) {
				affected.add(notice.vm());
			}
		}
		if (affected.isEmpty()) {
			return false;
		}
		for (Loss other : lossesWithin(loss, WAVE_WINDOW)) {
			affected.add(other.vm());
		}
		return affected.size() >= MINIMUM_WAVE_VMS;
	}

	private boolean isSuddenWave(Loss loss) {
		// Simultaneous losses without any notice can also be caused by one request that
		// its caller sent many times: then the same fingerprint ran at all of them.
		// Where a suspect ran, it explains the loss, which hence does not indicate a
		// wave.
		Set<VmId> affected = new HashSet<>();
		Set<Fingerprint> common = new HashSet<>(loss.fingerprints());
		for (Loss other : lossesWithin(loss, SUDDEN_WAVE_WINDOW)) {
			common.retainAll(other.fingerprints());
			if (!other.includesSuspect()) {
				affected.add(other.vm());
			}
		}
		return affected.size() >= MINIMUM_WAVE_VMS && common.isEmpty();
	}

	private List<Loss> lossesWithin(Loss loss, Duration window) {
		return recentLosses(loss.zone()).stream()
			.filter((other) -> isWithin(window, other.crash().at(), loss.crash().at()))
			.toList();
	}

	private static boolean isWithin(Duration window, Instant first, Instant second) {
		return Duration.between(first, second).abs().compareTo(window) <= 0;
	}

	private static <T> void addBounded(Deque<T> list, T element) {
		if (list.size() == MAXIMUM_EVENTS_PER_ZONE) {
			list.removeFirst();
		}
		list.addLast(element);
	}

	private record Notice(VmId vm, Instant at) {
	}

}
