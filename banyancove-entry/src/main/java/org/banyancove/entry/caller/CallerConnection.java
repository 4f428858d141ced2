package org.banyancove.entry.caller;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.banyancove.core.entry.AnswerPart;
import org.banyancove.core.entry.SubscriberId;

/**
 * An unbounded queue of answer parts for one caller. It separates the tick loop, which
 * must not block, from the thread that writes to the caller.
 */
final class CallerConnection {

	private final SubscriberId id;

	private final BlockingQueue<AnswerPart> parts = new LinkedBlockingQueue<>();

	CallerConnection(SubscriberId id) {
		this.id = id;
	}

	SubscriberId id() {
		return this.id;
	}

	void deliver(AnswerPart part) {
		this.parts.add(part);
	}

	AnswerPart next() throws InterruptedException {
		return this.parts.take();
	}

}
