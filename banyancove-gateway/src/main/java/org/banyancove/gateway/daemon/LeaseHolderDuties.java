package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyancove.gateway.configuration.Configuration;
import org.banyancove.gateway.duty.LeaseElector;
import org.banyancove.gateway.duty.LeaseRecord;
import org.banyancove.gateway.duty.PeerTable;
import org.banyancove.gateway.duty.UsageCounter;
import org.banyancove.gateway.duty.UsageReport;
import org.banyancove.gateway.duty.UsageReportPlanner;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.shared.AppendOutcome;
import org.banyancove.gateway.shared.Duties;
import org.banyancove.gateway.shared.MonotonicClock;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;
import org.banyancove.gateway.shared.TopicStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires and renews the lease of the shared duties, and performs them while this
 * gateway holds it.
 */
final class LeaseHolderDuties implements TopicFollower.Listener {

	private static final Logger log = LoggerFactory.getLogger(LeaseHolderDuties.class);

	private static final String LEASE_KEY = "duties";

	/**
	 * Difference between the progress of the time of day and that of the monotonic clock
	 * above which this process counts as paused; the monotonic clock alone may not show a
	 * pause.
	 */
	private static final Duration MAXIMUM_CLOCK_DRIFT = Duration.ofMillis(400);

	private final TopicStore topics;

	private final Duties duties;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	private final LeaseRecordCodec codec = new LeaseRecordCodec();

	private final LeaseElector leaseElector;

	private final UsageReportPlanner usageReportPlanner;

	private final PeerTable peerTable;

	private final EndpointAutoscaler autoscaler;

	private final RolloutExecutor rolloutExecutor;

	private final Set<Long> acknowledgedWindows = new HashSet<>();

	private final Set<Long> pendingWindows = new HashSet<>();

	private List<UsageReport> persistedReports = List.of();

	private Instant lastWallTime;

	private long lastMonotonicNanos;

	private boolean previouslyHeld;

	LeaseHolderDuties(TopicStore topics, Duties duties, MonotonicClock clock, InstantSource wallClock,
			LeaseElector leaseElector, UsageCounter usage, PeerTable peerTable, EndpointAutoscaler autoscaler,
			RolloutExecutor rolloutExecutor) {
		this.topics = topics;
		this.duties = duties;
		this.clock = clock;
		this.wallClock = wallClock;
		this.leaseElector = leaseElector;
		this.peerTable = peerTable;
		this.autoscaler = autoscaler;
		this.rolloutExecutor = rolloutExecutor;
		this.usageReportPlanner = new UsageReportPlanner(usage, wallClock.instant());
		this.lastWallTime = wallClock.instant();
		this.lastMonotonicNanos = clock.nanos();
	}

	@Override
	public void changed(TopicRecord entry) {
		if (entry.value() == null) {
			return;
		}
		try {
			LeaseRecord record = this.codec.read(entry.value());
			this.leaseElector.apply(record, this.clock.nanos());
			this.persistedReports = this.leaseElector.reports();
		}
		catch (RuntimeException ex) {
			log.atError()
				.addKeyValue("offset", entry.offset())
				.addKeyValue("cause", ex.toString())
				.log("lease unreadable");
		}
	}

	@Override
	public void readThrough(long nextOffset) {
		this.leaseElector.advanceTopicEnd(nextOffset);
	}

	void configure(Configuration configuration) {
		this.autoscaler.configure(configuration);
	}

	boolean holdsLease() {
		return this.leaseElector.holdsLease(this.clock.nanos());
	}

	void tick() {
		long now = this.clock.nanos();
		releaseAfterPause(now);
		boolean holdsLease = this.leaseElector.holdsLease(now);
		if (holdsLease != this.previouslyHeld) {
			this.previouslyHeld = holdsLease;
			log.atInfo().addKeyValue("fence", this.leaseElector.fence()).log(holdsLease ? "lease taken" : "lease lost");
		}
		renew(now, holdsLease);
		if (holdsLease) {
			this.persistedReports.forEach(this::sendReport);
			this.autoscaler.tick(this.leaseElector.fence(), now);
			this.rolloutExecutor.tick(this.leaseElector.fence(), this.leaseElector.rollouts(), now);
		}
	}

	private void releaseAfterPause(long now) {
		Instant wallTime = this.wallClock.instant();
		Duration drift = Duration.between(this.lastWallTime, wallTime).minusNanos(now - this.lastMonotonicNanos).abs();
		this.lastWallTime = wallTime;
		this.lastMonotonicNanos = now;
		if (drift.compareTo(MAXIMUM_CLOCK_DRIFT) > 0) {
			log.atWarn().addKeyValue("driftMs", drift.toMillis()).log("clock moved");
			this.leaseElector.onProcessPause(now);
		}
	}

	private void renew(long now, boolean holdsLease) {
		List<UsageReport> recordedReports = this.leaseElector.reports();
		List<UsageReport> reports = holdsLease ? this.usageReportPlanner.reportsToRecord(recordedReports,
				this.wallClock.instant(), (window) -> new UsageReport(window, this.peerTable.usageCounts(window)))
				: recordedReports;
		List<Rollout> rollouts = holdsLease ? this.rolloutExecutor.rolloutsToPersist() : this.leaseElector.rollouts();
		boolean urgent = !reports.equals(recordedReports) || !rollouts.equals(this.leaseElector.rollouts());
		LeaseRecord renewal = this.leaseElector.nextRecord(reports, rollouts, urgent, now);
		if (renewal == null) {
			return;
		}
		this.topics.appendAt(Topic.LEASES, LEASE_KEY, this.codec.write(renewal), this.leaseElector.expectedEndOffset())
			.whenComplete((outcome, failure) -> {
				switch (outcome) {
					case AppendOutcome.Appended appended -> {
						this.leaseElector.appendSucceeded(renewal, appended.offset(), this.clock.nanos());
						this.persistedReports = this.leaseElector.reports();
					}
					case AppendOutcome.Moved moved -> this.leaseElector.appendFailed(renewal);
					case null -> this.leaseElector.appendFailed(renewal);
				}
			});
	}

	private void sendReport(UsageReport report) {
		long window = report.window();
		if (this.acknowledgedWindows.contains(window) || !this.pendingWindows.add(window)) {
			return;
		}
		this.duties.reportUsage(this.leaseElector.fence(), window, report.counts())
			.whenComplete((accepted, failure) -> {
				this.pendingWindows.remove(window);
				if (Boolean.TRUE.equals(accepted)) {
					this.acknowledgedWindows.add(window);
				}
				log.atInfo()
					.addKeyValue("window", window)
					.addKeyValue("taken", accepted)
					.addKeyValue("cause", (failure != null) ? failure.toString() : null)
					.log("usage reported");
			});
	}

}
