package org.banyancove.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyancove.core.EndpointId;
import org.banyancove.core.Invariant;
import org.banyancove.core.RequestId;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.error.ErrorKind;

/**
 * Detects requests that crash endpoints and refuses them and their repeats.
 * <p>
 * A request that was running at an endpoint when it crashed is suspect. Suspects run
 * isolated: no two of them at one endpoint, and no fingerprint more than once at a time,
 * so that the next crash identifies its cause. A suspect that completes is cleared. A
 * suspect that ran at two crashes is refused, unless another suspect ran at all the same
 * crashes: these do not identify the cause, and both continue to run isolated.
 * <p>
 * Confined to the tick loop; not thread-safe.
 */
public final class SuspectSystem {

	private static final double SUSPECT_WEIGHT = 1;

	private static final double CONFIRMATION_WEIGHT = 2;

	private static final Duration RETENTION = Duration.ofMinutes(30);

	private static final Duration PEER_RUN_RETENTION = Duration.ofSeconds(10);

	private final InstantSource clock;

	private final Duration settleTime;

	private final SuspectTable suspects = new SuspectTable();

	private final LossClassifier lossClassifier = new LossClassifier();

	private final Map<EndpointId, Map<RequestId, Fingerprint>> running = new HashMap<>();

	private final Map<Fingerprint, Set<EndpointId>> suspectRuns = new HashMap<>();

	private final Map<EndpointId, Instant> peerRuns = new HashMap<>();

	private final Set<Fingerprint> changed = new LinkedHashSet<>();

	/**
	 * Creates the system.
	 * @param clock the clock
	 * @param settleTime the time after a crash in which peers' reports of it may still
	 * arrive; zero if there are no peers
	 */
	public SuspectSystem(InstantSource clock, Duration settleTime) {
		this.clock = clock;
		this.settleTime = settleTime;
	}

	/**
	 * Decides how a request may be run, before it is placed.
	 * @param fingerprint the request's fingerprint
	 * @return how it may be run
	 */
	public SuspectDecision decide(Fingerprint fingerprint) {
		Suspect suspect = this.suspects.find(fingerprint);
		if (suspect == null || !isSuspect(suspect)) {
			return new SuspectDecision.NotSuspect();
		}
		Instant now = this.clock.instant();
		suspect.updateLastSeen(now);
		Duration remainingSettleTime = remainingSettleTime(suspect, now);
		if (remainingSettleTime.isPositive() && !suspect.isConfirmed()) {
			return new SuspectDecision.Wait(remainingSettleTime);
		}
		if (isConfirmed(suspect)) {
			return new SuspectDecision.Refused(ErrorKind.REQUEST_CRASHES_ENDPOINTS);
		}
		if (!this.suspectRuns.getOrDefault(fingerprint, Set.of()).isEmpty()) {
			return new SuspectDecision.Wait(this.settleTime.plusSeconds(1));
		}
		return new SuspectDecision.RunIsolated(endpointsWithSuspects(suspect));
	}

	/**
	 * Records that an attempt was sent.
	 * @param request the request
	 * @param fingerprint the request's fingerprint
	 * @param endpoint the endpoint
	 */
	public void attemptStarted(RequestId request, Fingerprint fingerprint, EndpointId endpoint) {
		Suspect suspect = this.suspects.find(fingerprint);
		if (suspect != null && isSuspect(suspect)) {
			Invariant.check(!suspect.isConfirmed(), "request %s crashed two endpoints and was started again", request);
			Invariant.check(!runsSuspect(endpoint), "suspect request %s sent to %s, which is running another", request,
					endpoint);
			this.suspectRuns.computeIfAbsent(fingerprint, (key) -> new HashSet<>(2)).add(endpoint);
		}
		this.running.computeIfAbsent(endpoint, (id) -> new HashMap<>()).put(request, fingerprint);
	}

	/**
	 * Records that an attempt ended without the loss of its endpoint.
	 * @param request the request
	 * @param endpoint the endpoint
	 * @param completed whether the complete answer was received, which clears the request
	 */
	public void attemptEnded(RequestId request, EndpointId endpoint, boolean completed) {
		Map<RequestId, Fingerprint> requests = this.running.get(endpoint);
		if (requests == null) {
			return;
		}
		Fingerprint fingerprint = requests.remove(request);
		if (requests.isEmpty()) {
			this.running.remove(endpoint);
		}
		if (fingerprint == null) {
			return;
		}
		removeRun(fingerprint, endpoint);
		Suspect suspect = this.suspects.find(fingerprint);
		if (completed && suspect != null && !suspect.isConfirmed()) {
			suspect.clear(this.clock.instant());
		}
	}

	/**
	 * Records a reclaim notice. Losses in its zone that were classified as crashes may
	 * then be reclassified as part of a wave.
	 * @param vm the VM
	 * @param zone its zone
	 */
	public void reclaimNoticeReceived(VmId vm, ZoneName zone) {
		this.lossClassifier.recordNotice(vm, zone, this.clock.instant());
		reclassifyLosses(zone);
	}

	/**
	 * Records that an endpoint was lost with all requests that were running there.
	 * @param endpoint the endpoint
	 * @param vm its VM
	 * @param zone the VM's zone
	 * @return the cause of the loss as far as known
	 */
	public LossCause endpointLost(EndpointId endpoint, VmId vm, ZoneName zone) {
		Map<RequestId, Fingerprint> requests = this.running.getOrDefault(endpoint, Map.of());
		this.running.remove(endpoint);
		Set<Fingerprint> fingerprints = new HashSet<>(requests.values());
		fingerprints.forEach((fingerprint) -> removeRun(fingerprint, endpoint));
		Instant now = this.clock.instant();
		Loss loss = new Loss(new Crash(endpoint, now, false), vm, zone, fingerprints,
				fingerprints.stream().anyMatch(this::isSuspect));
		this.lossClassifier.recordLoss(loss);
		LossCause cause = this.lossClassifier.classify(loss);
		if (cause != LossCause.RECLAIM) {
			fingerprints.forEach((fingerprint) -> recordCrash(fingerprint, loss.crash(), now));
		}
		reclassifyLosses(zone);
		return cause;
	}

	/**
	 * Returns the records of all suspects.
	 * @return one record for each suspect
	 */
	public List<SuspectRecord> records() {
		List<SuspectRecord> records = new ArrayList<>(this.suspects.size());
		for (Suspect suspect : this.suspects.all()) {
			records.add(record(suspect));
		}
		return records;
	}

	/**
	 * Returns a digest of which suspects ran at which crashes. It does not depend on the
	 * times of the crashes, which entries observe at different times.
	 * @return the digest, 0 if there is no suspect
	 */
	public long digest() {
		long digest = 0;
		for (Suspect suspect : this.suspects.all()) {
			for (Crash crash : suspect.crashes()) {
				digest ^= mix(suspect.fingerprint().high() + mix(crash.endpoint().hashCode()));
			}
		}
		return digest;
	}

	/**
	 * Removes and returns the suspects for which this entry recorded a crash since the
	 * last call.
	 * @return the records to send to the peers
	 */
	public List<SuspectRecord> drainChanged() {
		List<SuspectRecord> records = new ArrayList<>(this.changed.size());
		for (Fingerprint fingerprint : this.changed) {
			Suspect suspect = this.suspects.find(fingerprint);
			if (suspect != null) {
				records.add(record(suspect));
			}
		}
		this.changed.clear();
		return records;
	}

	/**
	 * Merges the records of a peer.
	 * @param records the peer's records
	 */
	public void merge(Collection<SuspectRecord> records) {
		Instant now = this.clock.instant();
		for (SuspectRecord record : records) {
			Suspect suspect = this.suspects.findOrAdd(record.fingerprint(), now);
			record.clearedAt().ifPresent(suspect::clear);
			record.crashes().forEach(suspect::addCrash);
			record.runningAt().forEach((endpoint) -> this.peerRuns.put(endpoint, now));
		}
	}

	/**
	 * Removes expired suspects, losses and runs of peers.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		this.suspects.removeExpired(now, RETENTION);
		this.lossClassifier.removeExpired(now);
		this.peerRuns.values().removeIf((reportedAt) -> reportedAt.plus(PEER_RUN_RETENTION).isBefore(now));
	}

	/**
	 * Returns the number of suspect and refused requests.
	 * @return the number of fingerprints
	 */
	public int size() {
		return this.suspects.size();
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 32)) * 0x9E3779B97F4A7C15L;
		return mixed ^ (mixed >>> 29);
	}

	private SuspectRecord record(Suspect suspect) {
		return new SuspectRecord(suspect.fingerprint(), suspect.crashes(), suspect.clearedAt(),
				this.suspectRuns.getOrDefault(suspect.fingerprint(), Set.of()));
	}

	private void recordCrash(Fingerprint fingerprint, Crash crash, Instant now) {
		Suspect suspect = this.suspects.findOrAdd(fingerprint, now);
		suspect.updateLastSeen(now);
		suspect.addCrash(crash);
		this.changed.add(fingerprint);
	}

	private void reclassifyLosses(ZoneName zone) {
		for (Loss loss : this.lossClassifier.recentLosses(zone)) {
			switch (this.lossClassifier.classify(loss)) {
				case CRASH -> {
				}
				case WAVE -> loss.fingerprints().forEach((fingerprint) -> markInWave(fingerprint, loss.crash()));
				case RECLAIM -> loss.fingerprints().forEach((fingerprint) -> removeCrash(fingerprint, loss.crash()));
			}
		}
	}

	private void markInWave(Fingerprint fingerprint, Crash crash) {
		Suspect suspect = this.suspects.find(fingerprint);
		if (suspect != null && suspect.ranAt(crash)) {
			suspect.addCrash(crash.asInWave());
		}
	}

	private void removeCrash(Fingerprint fingerprint, Crash crash) {
		Suspect suspect = this.suspects.find(fingerprint);
		if (suspect != null && !suspect.isConfirmed()) {
			suspect.removeCrash(crash);
		}
	}

	private Duration remainingSettleTime(Suspect suspect, Instant now) {
		if (suspect.weight() < CONFIRMATION_WEIGHT) {
			return Duration.ZERO;
		}
		return Duration.between(now, suspect.lastCrashAt().plus(this.settleTime));
	}

	private boolean isConfirmed(Suspect suspect) {
		if (!suspect.isConfirmed() && suspect.weight() >= CONFIRMATION_WEIGHT && !sharesAllCrashes(suspect)) {
			suspect.confirm();
			attributeCrashes(suspect);
		}
		return suspect.isConfirmed();
	}

	private void attributeCrashes(Suspect confirmed) {
		for (Suspect other : this.suspects.all()) {
			if (other != confirmed && !other.isConfirmed()) {
				confirmed.crashes().forEach(other::removeCrash);
			}
		}
	}

	private boolean sharesAllCrashes(Suspect suspect) {
		// A crash is caused by one request. If another suspect ran at all the same
		// crashes, either of them may be the cause.
		for (Suspect other : this.suspects.all()) {
			if (other != suspect && suspect.crashes().stream().allMatch(other::ranAt)) {
				return true;
			}
		}
		return false;
	}

	private Set<EndpointId> endpointsWithSuspects(Suspect suspect) {
		Set<EndpointId> excluded = new HashSet<>(this.peerRuns.keySet());
		this.suspectRuns.values().forEach(excluded::addAll);
		suspect.crashes().forEach((crash) -> excluded.add(crash.endpoint()));
		return excluded;
	}

	private boolean isSuspect(Fingerprint fingerprint) {
		Suspect suspect = this.suspects.find(fingerprint);
		return suspect != null && isSuspect(suspect);
	}

	private static boolean isSuspect(Suspect suspect) {
		return suspect.isConfirmed() || suspect.weight() >= SUSPECT_WEIGHT;
	}

	private boolean runsSuspect(EndpointId endpoint) {
		return this.suspectRuns.values().stream().anyMatch((endpoints) -> endpoints.contains(endpoint));
	}

	private void removeRun(Fingerprint fingerprint, EndpointId endpoint) {
		Set<EndpointId> endpoints = this.suspectRuns.get(fingerprint);
		if (endpoints != null) {
			endpoints.remove(endpoint);
			if (endpoints.isEmpty()) {
				this.suspectRuns.remove(fingerprint);
			}
		}
	}

}
