package org.banyancove.entry.endpoint;

import java.net.http.HttpRequest;
import java.nio.ByteBuffer;
import java.util.concurrent.Flow;

/**
 * A request body that records whether the client started to send it.
 * <p>
 * A call that must run at most once waits for the endpoint's status 100 (Continue) before
 * its body is sent. After a failure before that, the call certainly has not run; once the
 * body has been requested, the outcome is unknown.
 */
final class ObservedBody implements HttpRequest.BodyPublisher {

	private final HttpRequest.BodyPublisher delegate;

	private volatile boolean requested;

	ObservedBody(byte[] body) {
		this.delegate = HttpRequest.BodyPublishers.ofByteArray(body);
	}

	boolean requested() {
		return this.requested;
	}

	@Override
	public long contentLength() {
		return this.delegate.contentLength();
	}

	@Override
	public void subscribe(Flow.Subscriber<? super ByteBuffer> subscriber) {
		this.requested = true;
		this.delegate.subscribe(subscriber);
	}

}
