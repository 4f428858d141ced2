package org.banyancove.core.stream;

import java.time.Duration;

import org.banyancove.core.ServiceName;

/**
 * The port of {@link StreamSystem} to the enclosing entry. Called on the tick thread.
 */
public interface StreamPort {

	/**
	 * Executes a command without blocking.
	 * @param command the command
	 */
	void execute(StreamCommand command);

	/**
	 * Returns the retry delay for a caller whose answer was given up.
	 * @param service the service
	 * @return the delay
	 */
	Duration retryAfter(ServiceName service);

}
