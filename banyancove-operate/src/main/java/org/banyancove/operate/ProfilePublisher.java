package org.banyancove.operate;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletionException;

import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.DecidedChange;
import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileView;
import org.banyancove.platform.AppendResult;
import org.banyancove.platform.profile.ProfileStream;

/**
 * Publishes changes and reads their outcome from the stream. Not thread-safe.
 * <p>
 * The response to an append can be lost after the append took effect, or the append can
 * take effect minutes later. An operator who gets an error in that case would publish
 * again, perhaps over a colleague's change. The stream is therefore the only source of
 * truth: each change carries a record identifier, the append is retried under the same
 * identifier until the stream contains it, and duplicates of the record are ignored.
 */
final class ProfilePublisher {

	private static final Duration RETRY_DELAY = Duration.ofMillis(200);

	private final ProfileStream stream;

	private final Duration patience;

	private final InstantSource clock;

	private final ProfileView view = new ProfileView();

	ProfilePublisher(ProfileStream stream, Duration patience, InstantSource clock) {
		this.stream = stream;
		this.patience = patience;
		this.clock = clock;
	}

	/**
	 * Reads the stream to its current end, with retries.
	 * @return the view of the published profiles and services
	 * @throws BanyancoveException of kind {@link ErrorKind#PLATFORM_UNREACHABLE} if the
	 * platform does not respond until the patience expires, or the log has been trimmed
	 * and contains no checkpoint
	 * @throws InterruptedException if the thread is interrupted
	 */
	ProfileView read() throws InterruptedException {
		Instant deadline = this.clock.instant().plus(this.patience);
		while (true) {
			try {
				readToEnd();
				break;
			}
			catch (CompletionException ex) {
				sleepOrFail(deadline, RETRY_DELAY, String.valueOf(ex.getCause()));
			}
		}
		if (this.view.hasGap()) {
			throw new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE,
					"The log no longer contains the first records and has no checkpoint yet;"
							+ " an entry process appends one");
		}
		return this.view;
	}

	/**
	 * Appends changes and reads the stream until each of them is decided.
	 * @param changes the changes, in order
	 * @return the decisions, in the same order
	 * @throws BanyancoveException of kind {@link ErrorKind#PLATFORM_UNREACHABLE} if the
	 * outcome is unknown when the patience expires
	 * @throws InterruptedException if the thread is interrupted
	 */
	List<DecidedChange> publish(List<? extends ProfileRecord.Change> changes) throws InterruptedException {
		Instant deadline = this.clock.instant().plus(this.patience);
		while (true) {
			AppendResult result = this.stream.append(changes).join();
			if (!(result instanceof AppendResult.Refused)) {
				read();
			}
			List<DecidedChange> decisions = findDecisions(changes);
			if (decisions.size() == changes.size()) {
				return decisions;
			}
			sleepOrFail(deadline, (result instanceof AppendResult.Refused refused) ? refused.retryAfter() : RETRY_DELAY,
					"The outcome is unknown: " + result + "; the records that may still be appended are "
							+ changes.stream().map(ProfileRecord.Change::recordId).toList());
		}
	}

	private List<DecidedChange> findDecisions(List<? extends ProfileRecord.Change> changes) {
		return changes.stream().<DecidedChange>mapMulti((change, downstream) -> {
			DecidedChange decision = this.view.table().decision(change.recordId());
			if (decision != null) {
				downstream.accept(decision);
			}
		}).toList();
	}

	private void readToEnd() {
		ProfilePage page;
		do {
			page = this.stream.read(this.view.nextOffset(), Duration.ZERO).join();
			this.view.apply(page);
		}
		while (this.view.nextOffset() < page.endOffset());
	}

	private void sleepOrFail(Instant deadline, Duration delay, String reason) throws InterruptedException {
		if (this.clock.instant().plus(delay).isAfter(deadline)) {
			throw new BanyancoveException(ErrorKind.PLATFORM_UNREACHABLE, reason);
		}
		Thread.sleep(delay);
	}

}
