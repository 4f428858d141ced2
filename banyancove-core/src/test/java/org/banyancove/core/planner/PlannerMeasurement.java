package org.banyancove.core.planner;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.sun.management.ThreadMXBean;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.Incarnation;
import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;

/**
 * Measures the cost of a planner's round with 11, 1,000 and 12,000 engines: a new list of
 * all VMs, the plan, and a read of every engine's state. Run by its {@code main}.
 */
public final class PlannerMeasurement {

	private static final int[] SIZES = { 11, 1_000, 12_000 };

	private static final long MINIMUM_MEASUREMENT_NANOS = 2_000_000_000L;

	private static final int ZONES = 3;

	private static final int CLASSES = 4;

	private static final DataCenterName DATA_CENTER = new DataCenterName("mahebourg");

	private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

	private PlannerMeasurement() {
	}

	/**
	 * Prints a row for each size.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		System.out.println("engines  plan (us)  round (us)  round, allocated (KB)  planned VMs");
		for (int size : SIZES) {
			List<Offer> offers = offers();
			double target = size * (ZONES - 1.0) / ZONES;
			CapacityPlan plan = CapacityPlan.cheapest(target, offers, Map.of());
			double planned = micros(() -> CapacityPlan.cheapest(target, offers, Map.of()));
			Round round = new Round(target, offers, plan);
			double rounds = micros(round);
			System.out.printf(Locale.ROOT, "%7d  %9.1f  %10.1f  %21.1f  %11d%n", size, planned, rounds,
					kilobytes(round), round.vms.size());
		}
	}

	private static List<Offer> offers() {
		List<Offer> offers = new ArrayList<>();
		for (int zone = 0; zone < ZONES; zone++) {
			for (int type = 1; type <= CLASSES; type++) {
				ZoneName name = new ZoneName("zone-" + zone);
				MachineClass machineClass = new MachineClass("gpu-" + type);
				double price = (0.4 + 0.02 * zone) * type * (1 + 0.03 * type);
				offers.add(new Offer(name, machineClass, true, price, type));
				offers.add(new Offer(name, machineClass, false, 3 * price, type));
			}
		}
		return offers;
	}

	private static double micros(Runnable work) {
		int count = 0;
		for (int i = 0; i < 3; i++) {
			work.run();
		}
		long startNanos = System.nanoTime();
		long elapsed = 0;
		while (elapsed < MINIMUM_MEASUREMENT_NANOS) {
			work.run();
			count++;
			elapsed = System.nanoTime() - startNanos;
		}
		return elapsed / 1e3 / count;
	}

	private static double kilobytes(Runnable work) {
		long before = THREADS.getCurrentThreadAllocatedBytes();
		work.run();
		return (THREADS.getCurrentThreadAllocatedBytes() - before) / 1024.0;
	}

	/**
	 * A planner that holds the lease, and one round of it.
	 */
	private static final class Round implements Runnable, PlannerPort {

		private static final Duration LEASE = Duration.ofDays(1);

		private final Incarnation self = new Incarnation(new VmId("planner-1"), 1);

		private final List<CloudVm> vms = new ArrayList<>();

		private final List<VmId> reads = new ArrayList<>();

		private final EngineState state = new EngineState(Set.of("feed-7"), Set.of(), "mixed");

		private final PlannerSystem system;

		private Instant now = Instant.EPOCH;

		private long lists = -1;

		Round(double target, List<Offer> offers, CapacityPlan plan) {
			PlannerSettings settings = PlannerSettings.defaults();
			this.system = new PlannerSystem(this.self, DATA_CENTER, () -> this.now, new Random(1),
					new PlannerSettings(LEASE, settings.listInterval(), settings.callTimeout(),
							settings.orderInterval(), settings.refusedStart(), settings.startsInFlight(),
							settings.loadsPerSecond(), settings.loadBurst()),
					this);
			plan.counts().forEach((kind, count) -> {
				for (int i = 0; i < count; i++) {
					int number = this.vms.size();
					this.vms.add(new CloudVm(new VmId("cloud-" + number), ClientToken.of(DATA_CENTER, 0, number), kind,
							false));
				}
			});
			this.system.setOffers(offers);
			this.system.setDesiredState(target, this.state);
			this.system.tick();
		}

		@Override
		public void run() {
			this.now = this.now.plusSeconds(6);
			this.system.tick();
			this.system.applyList(this.lists, this.vms);
			this.system.tick();
			this.reads.forEach((vm) -> this.system.orderAnswered(vm, new OrderResult.ReadBack(this.state)));
			this.reads.clear();
		}

		@Override
		public void append(LeaseRecord record) {
			this.system.applyLeaseRecord(0, record, this.now);
		}

		@Override
		public void list(long request) {
			this.lists = request;
		}

		@Override
		public void start(ClientToken token, VmKind kind) {
			throw new IllegalStateException("No start expected while the target is met: " + kind);
		}

		@Override
		public void stop(VmId vm) {
			throw new IllegalStateException("No stop expected while the target is met: " + vm);
		}

		@Override
		public void order(VmId vm, long fence, EngineState desiredState) {
			throw new IllegalStateException("No order expected for an engine in the desired state: " + vm);
		}

		@Override
		public void readBack(VmId vm) {
			this.reads.add(vm);
		}

	}

}
