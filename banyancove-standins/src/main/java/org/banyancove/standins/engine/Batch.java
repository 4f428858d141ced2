package org.banyancove.standins.engine;

import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Slots of the continuous batch. A bounded number of generations run; the others wait in
 * order of priority and arrival. This class is thread-safe.
 */
final class Batch {

	private final PriorityQueue<Ticket> queue = new PriorityQueue<>();

	private final int slots;

	private long arrivals;

	private int running;

	Batch(int slots) {
		this.slots = slots;
	}

	synchronized void acquireSlot(int priority) throws InterruptedException {
		this.arrivals++;
		Ticket ticket = new Ticket(priority, this.arrivals);
		this.queue.add(ticket);
		try {
			while (this.running >= this.slots || !ticket.equals(this.queue.peek())) {
				wait();
			}
			this.running++;
		}
		finally {
			this.queue.remove(ticket);
			notifyAll();
		}
	}

	synchronized void releaseSlot() {
		this.running--;
		notifyAll();
	}

	synchronized int running() {
		return this.running;
	}

	synchronized int queued() {
		return this.queue.size();
	}

	private record Ticket(int priority, long arrival) implements Comparable<Ticket> {

		@Override
		public int compareTo(@Nullable Ticket other) {
			if (other == null) {
				return -1;
			}
			int byPriority = Integer.compare(this.priority, other.priority);
			return (byPriority != 0) ? byPriority : Long.compare(this.arrival, other.arrival);
		}

	}

}
