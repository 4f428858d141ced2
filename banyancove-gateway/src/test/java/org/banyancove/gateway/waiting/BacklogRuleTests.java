package org.banyancove.gateway.waiting;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.banyancove.core.ServiceName;
import org.banyancove.gateway.admission.AdmissionRule;
import org.banyancove.gateway.admission.RetryAfterRule;
import org.banyancove.gateway.configuration.Route;
import org.banyancove.gateway.configuration.RouteKind;
import org.banyancove.gateway.configuration.WeightedService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BacklogRuleTests {

	private static final Duration SHORT_TARGET = Duration.ofMillis(504);

	private static final Route SHORT = route(SHORT_TARGET);

	private static final Route LONG = route(Duration.ofMillis(1008));

	private final BacklogRule rule = new BacklogRule(new AdmissionRule());

	@Test
	void requestWithALongerTargetWaitsWhileTheBacklogExceedsHalfOfTheShortestTarget() {
		assertThat(decide(LONG, 252, 300)).isInstanceOf(BacklogDecision.Send.class);
		assertThat(decide(LONG, 253, 300)).isInstanceOf(BacklogDecision.Wait.class);
		assertThat(decide(LONG, 252, 1500)).isInstanceOf(BacklogDecision.Rejected.class);
	}

	@Test
	void requestWithTheShortestTargetIsSentOrRejectedByItsPredictedLatency() {
		assertThat(decide(SHORT, 600, 620)).isInstanceOf(BacklogDecision.Send.class);
		assertThat(decide(SHORT, 600, 640)).isInstanceOf(BacklogDecision.Rejected.class);
	}

	// Guards against short streams that are late or rejected for seconds because long
	// prompts arrive faster than the engines prefill them.
	@Test
	void shortStreamsMeetTheirTargetInABurstOfLongOnes() {
		assertThat(new Replay(true).shareOfShortStreamsInTime()).isGreaterThan(0.95);
		assertThat(new Replay(false).shareOfShortStreamsInTime()).isLessThan(0.8);
	}

	private BacklogDecision decide(Route route, long backlogMillis, long predictedMillis) {
		return this.rule.decide(route, SHORT_TARGET, Duration.ofMillis(backlogMillis),
				Duration.ofMillis(predictedMillis), Duration.ZERO, Duration.ofSeconds(10));
	}

	private static Route route(Duration target) {
		return new Route("r", "h", "/", RouteKind.STREAMING, true, Duration.ofSeconds(10), target, target, 0,
				List.of(new WeightedService(new ServiceName("engines"), 1)), 1, true);
	}

	/**
	 * A burst of 3.5 s at 42 engines: 267 short streams of 38 ms and 160 long ones of 250
	 * ms a second.
	 */
	private static final class Replay {

		private static final long MILLISECOND = 1_000_000;

		private static final int ENGINES = 42;

		private static final int SHORT_MILLIS = 38;

		private static final int LONG_MILLIS = 250;

		private final BacklogRule rule = new BacklogRule(new AdmissionRule());

		private final WaitingQueue queue = new WaitingQueue(new WaitingCapacity(), new RetryAfterRule());

		private final SplittableRandom random = new SplittableRandom(7);

		private final double[] freeAtMillis = new double[ENGINES];

		private final DrainRate drainRate = new DrainRate(0);

		private final boolean waits;

		Replay(boolean waits) {
			this.waits = waits;
		}

		double shareOfShortStreamsInTime() {
			int sent = 0;
			int inTime = 0;
			for (int milli = 0; milli < 3500; milli++) {
				long now = milli * MILLISECOND;
				if (this.random.nextDouble() < 0.267) {
					sent++;
					inTime += sendShort(milli) ? 1 : 0;
				}
				if (this.random.nextDouble() < 0.16) {
					WaitingRequest request = new WaitingRequest("", 1, null, 1, LONG_MILLIS, 1, now,
							now + LONG.latencyTarget().toNanos() - LONG_MILLIS * MILLISECOND);
					if (!sendLong(milli, 0)) {
						this.queue.offer(request, this.drainRate.millisPerSecond(now), now);
					}
				}
				startWaiting(milli);
			}
			return inTime / (double) sent;
		}

		private void startWaiting(int milli) {
			this.queue.removeExpired(milli * MILLISECOND);
			WaitingRequest first = this.queue.peek(milli * MILLISECOND);
			if (first != null && sendLong(milli, (int) (milli - first.arrivedAt() / MILLISECOND))) {
				this.queue.started(first);
			}
		}

		private boolean sendShort(int milli) {
			int engine = choose();
			double backlog = backlog(engine, milli);
			Duration predicted = Duration.ofMillis((long) backlog + SHORT_MILLIS);
			if (!(decide(SHORT, backlog, predicted, Duration.ZERO) instanceof BacklogDecision.Send)) {
				return false;
			}
			send(engine, milli, SHORT_MILLIS);
			return predicted.compareTo(SHORT_TARGET) <= 0;
		}

		private boolean sendLong(int milli, int elapsedMillis) {
			int engine = choose();
			double backlog = backlog(engine, milli);
			Duration predicted = Duration.ofMillis((long) backlog + LONG_MILLIS);
			BacklogDecision decision = decide(LONG, backlog, predicted, Duration.ofMillis(elapsedMillis));
			if (decision instanceof BacklogDecision.Send) {
				send(engine, milli, LONG_MILLIS);
			}
			return !(decision instanceof BacklogDecision.Wait);
		}

		// A service whose routes have the same target is treated as before.
		private BacklogDecision decide(Route route, double backlog, Duration predicted, Duration elapsed) {
			return this.rule.decide(route, this.waits ? SHORT_TARGET : route.latencyTarget(),
					Duration.ofMillis((long) backlog), predicted, elapsed, Duration.ofSeconds(3));
		}

		private int choose() {
			int first = this.random.nextInt(ENGINES);
			int second = this.random.nextInt(ENGINES);
			return (this.freeAtMillis[first] < this.freeAtMillis[second]) ? first : second;
		}

		private double backlog(int engine, int milli) {
			return Math.max(0, this.freeAtMillis[engine] - milli);
		}

		private void send(int engine, int milli, int millis) {
			this.freeAtMillis[engine] = milli + backlog(engine, milli) + millis;
			this.drainRate.record(millis, milli * MILLISECOND);
		}

	}

}
