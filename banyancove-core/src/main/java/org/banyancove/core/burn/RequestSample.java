package org.banyancove.core.burn;

import java.time.Instant;

import org.banyancove.core.AccountName;
import org.banyancove.core.ProfileName;
import org.banyancove.core.RequestId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.CallExecution;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.error.Repetition;
import org.jspecify.annotations.Nullable;

/**
 * An answered request as recorded in the entry's trace.
 *
 * @param at when the answer ended
 * @param requestId the request
 * @param account the caller's account
 * @param service the service
 * @param profile the profile under which the request was accepted
 * @param firstTokenMillis the time to the first token in milliseconds, or {@code null} if
 * there was none
 * @param totalMillis the time to the end of the answer in milliseconds
 * @param met whether the answer was complete and met the profile's targets
 * @param errorCode the code of the error kind, or {@code null} if there was no error
 */
public record RequestSample(Instant at, RequestId requestId, AccountName account, ServiceName service,
		ProfileName profile, @Nullable Long firstTokenMillis, long totalMillis, boolean met,
		@Nullable String errorCode) {

	/**
	 * Returns whether the request counts against its profile's objective. A request that
	 * did not run and that the caller must change before it can succeed does not count: a
	 * caller that sends malformed requests would otherwise raise an alarm. A late repeat
	 * whose answer states that its call ran does not count either.
	 * @return whether the request counts
	 */
	public boolean counts() {
		for (ErrorKind kind : ErrorKind.values()) {
			if (kind.code().equals(this.errorCode)) {
				return kind.repetition() != Repetition.USELESS || kind.execution() == CallExecution.UNKNOWN;
			}
		}
		return true;
	}

}
