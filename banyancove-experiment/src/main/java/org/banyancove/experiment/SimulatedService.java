package org.banyancove.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.LoadReport;

/**
 * Models a plain service with a fixed number of workers.
 */
final class SimulatedService implements SimulatedEndpoint {

	private static final int MAXIMUM_QUEUE_LENGTH = 64;

	private final EndpointDefinition definition;

	private final int workers;

	private final double speed;

	private final EventQueue events;

	private final Deque<Job> queue = new ArrayDeque<>();

	private final Set<Job> running = new LinkedHashSet<>();

	private boolean alive = true;

	private double busySince;

	private double busySeconds;

	SimulatedService(Fleet.Service service, EventQueue events) {
		this.definition = service.definition();
		this.workers = service.workers();
		this.speed = service.speed();
		this.events = events;
	}

	@Override
	public EndpointDefinition definition() {
		return this.definition;
	}

	@Override
	public void submit(Job job) {
		if (!this.alive) {
			job.listener().lost();
			return;
		}
		if (this.queue.size() >= MAXIMUM_QUEUE_LENGTH) {
			job.listener().refused();
			return;
		}
		this.queue.addLast(job);
		startNext();
	}

	@Override
	public int cancel(Job job) {
		job.end();
		this.queue.remove(job);
		removeRunning(job);
		return 0;
	}

	@Override
	public void kill() {
		this.alive = false;
		List<Job> jobs = new ArrayList<>(this.queue);
		jobs.addAll(this.running);
		this.queue.clear();
		for (Job job : List.copyOf(this.running)) {
			removeRunning(job);
		}
		jobs.forEach(Job::end);
		jobs.forEach((job) -> job.listener().lost());
	}

	@Override
	public void restart() {
		this.alive = true;
	}

	@Override
	public LoadReport report() {
		return new LoadReport(this.events.instant(), this.running.size(), this.queue.size(), 0, 0, 0);
	}

	@Override
	public double busySeconds() {
		return this.busySeconds;
	}

	private void startNext() {
		while (this.alive && this.running.size() < this.workers && !this.queue.isEmpty()) {
			Job job = this.queue.removeFirst();
			if (this.running.isEmpty()) {
				this.busySince = this.events.now();
			}
			this.running.add(job);
			this.events.scheduleAfter(job.serviceSeconds() / this.speed, () -> complete(job));
		}
	}

	private void complete(Job job) {
		if (job.isEnded()) {
			return;
		}
		job.end();
		removeRunning(job);
		job.listener().firstToken(0);
		job.listener().completed();
		startNext();
	}

	private void removeRunning(Job job) {
		if (this.running.remove(job) && this.running.isEmpty()) {
			this.busySeconds += this.events.now() - this.busySince;
		}
	}

}
