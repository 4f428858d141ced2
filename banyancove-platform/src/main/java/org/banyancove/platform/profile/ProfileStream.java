package org.banyancove.platform.profile;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.profile.ProfilePage;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.platform.AppendResult;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.NewRecord;

/**
 * A client of the profiles stream on the platform's log. Thread-safe.
 */
public final class ProfileStream {

	/** The stream's name on the log. */
	public static final String NAME = "profiles";

	private static final int PAGE_LIMIT = 1000;

	private final LogClient log;

	private final ProfileRecordCodec codec = new ProfileRecordCodec();

	/**
	 * Creates a client.
	 * @param log the log
	 */
	public ProfileStream(LogClient log) {
		this.log = log;
	}

	/**
	 * Appends changes atomically. Reading the stream past a change determines whether it
	 * is accepted.
	 * @param changes the changes, in order
	 * @return the known outcome of the append; never completes exceptionally
	 */
	public CompletableFuture<AppendResult> append(List<? extends ProfileRecord.Change> changes) {
		return this.log.append(NAME, changes.stream().map(this.codec::newRecord).toList());
	}

	/**
	 * Appends a checkpoint.
	 * @param recordId the identifier of the record
	 * @param checkpoint the checkpoint
	 * @return the known outcome of the append; never completes exceptionally
	 */
	public CompletableFuture<AppendResult> append(String recordId, ProfileRecord.ProfilesCheckpoint checkpoint) {
		return this.log.append(NAME, List.of(new NewRecord(recordId, this.codec.encode(checkpoint))));
	}

	/**
	 * Reads records.
	 * @param from the offset of the first record to read
	 * @param wait the maximum time that the platform waits for new records
	 * @return the page; fails as {@link LogClient#read} does if there is no response
	 */
	public CompletableFuture<ProfilePage> read(long from, Duration wait) {
		return this.log.read(NAME, from, PAGE_LIMIT, wait).thenApply(this.codec::decode);
	}

}
