package org.banyancove.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.VmId;

/**
 * A client of the platform's reclaim notices, which are up to date. Thread-safe.
 */
public final class NoticeClient {

	private final PlatformConnection connection;

	/**
	 * Creates a client.
	 * @param connection the connection to the platform
	 */
	public NoticeClient(PlatformConnection connection) {
		this.connection = connection;
	}

	/**
	 * Reads the notices after a sequence number.
	 * @param after the sequence number of the last notice read, 0 for none
	 * @param wait the maximum time that the platform waits for a new notice
	 * @return the notices, in order; completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<List<ReclaimNotice>> read(long after, Duration wait) {
		return this.connection.send("/notices?after=" + after + "&waitMillis=" + wait.toMillis(), "GET", null, wait)
			.thenApply((response) -> PlatformResponses.read(response, NoticesDocument.class).read())
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	private record NoticesDocument(List<NoticeDocument> notices) {

		List<ReclaimNotice> read() {
			return this.notices.stream().map(NoticeDocument::notice).toList();
		}

	}

	private record NoticeDocument(long sequence, String vm, String reclaimAt) {

		ReclaimNotice notice() {
			return new ReclaimNotice(this.sequence, new VmId(this.vm), Instant.parse(this.reclaimAt));
		}

	}

}
