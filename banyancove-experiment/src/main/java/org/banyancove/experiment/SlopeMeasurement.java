package org.banyancove.experiment;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.RequestId;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.routing.AttemptOutcome;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointRegion;
import org.banyancove.core.routing.EndpointTable;
import org.banyancove.core.routing.PlacementDecision;
import org.banyancove.core.routing.PlacementRequest;
import org.banyancove.core.routing.PlacementSystem;
import org.banyancove.core.routing.PromptPrefix;

/**
 * Measures placement with a fixed number of endpoints, distributed over 13 data centers
 * with two zones each and three machine classes.
 */
final class SlopeMeasurement {

	private static final int DATA_CENTERS = 13;

	private static final int ZONES = 2;

	private static final int MACHINE_CLASSES = 3;

	private static final int IN_FLIGHT_PER_ENDPOINT = 4;

	private static final int DOCUMENTS = 2000;

	private static final int PREFIXES_PER_REQUEST = 6;

	private static final int MINIMUM_PREFIX_TOKENS = 64;

	private final int endpointCount;

	private final int placements;

	private final int regionSize;

	private final RandomGenerator random;

	private Instant now = Instant.parse("2026-01-01T00:00:00Z");

	private long requests;

	SlopeMeasurement(int endpointCount, int regions, int placements, long seed) {
		this.endpointCount = endpointCount;
		this.regionSize = Math.ceilDiv(DATA_CENTERS, regions);
		this.placements = placements;
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
	}

	List<Row> measure() {
		List<Row> rows = new ArrayList<>();
		for (PlacementPolicyName policy : PlacementPolicyName.values()) {
			rows.add(measure(policy));
		}
		return rows;
	}

	private Row measure(PlacementPolicyName policy) {
		long initialBytes = usedBytes();
		EndpointTable table = new EndpointTable(region(), 0);
		PlacementSystem placement = new PlacementSystem(table, () -> this.now, this.random);
		table.applyList(IntStream.range(0, this.endpointCount).mapToObj(SlopeMeasurement::definition).toList(),
				this.now);
		long bytesWithEndpoints = usedBytes();
		Deque<SentAttempt> inFlight = new ArrayDeque<>();
		int targetInFlight = table.all().size() * IN_FLIGHT_PER_ENDPOINT;
		for (int i = 0; i < targetInFlight + this.placements; i++) {
			place(placement, table, inFlight, policy);
			if (inFlight.size() > targetInFlight) {
				end(table, inFlight.removeFirst());
			}
		}
		int running = inFlight.size();
		List<PlacementRequest> sampleRequests = new ArrayList<>();
		for (int i = 0; i < this.placements; i++) {
			sampleRequests.add(request(policy));
		}
		long start = System.nanoTime();
		long checksum = 0;
		for (PlacementRequest request : sampleRequests) {
			checksum += placement.place(request).hashCode();
		}
		double nanos = (double) (System.nanoTime() - start) / this.placements;
		if (checksum == 0) {
			throw new IllegalStateException("No placement was measured");
		}
		double endpointBytes = (double) (bytesWithEndpoints - initialBytes) / this.endpointCount;
		sampleRequests.clear();
		long bytesWithRequests = usedBytes();
		while (!inFlight.isEmpty()) {
			end(table, inFlight.removeFirst());
		}
		long bytesAfterRequests = usedBytes();
		double requestBytes = (double) (bytesWithRequests - bytesAfterRequests) / Math.max(1, running);
		double learnedBytes = (double) (bytesAfterRequests - bytesWithEndpoints) / this.endpointCount;
		if (placement.place(request(policy)).hashCode() == 0) {
			throw new IllegalStateException("The placement system must be reachable until its size is measured");
		}
		return new Row(policy.name().toLowerCase(Locale.ROOT), nanos, endpointBytes, requestBytes, learnedBytes);
	}

	private void place(PlacementSystem placement, EndpointTable table, Deque<SentAttempt> inFlight,
			PlacementPolicyName policy) {
		this.now = this.now.plusNanos(1_000_000_000L / Math.max(1, this.endpointCount));
		PlacementRequest request = request(policy);
		if (placement.place(request) instanceof PlacementDecision.Placed placed) {
			table.attemptStarted(placed, request, this.now);
			inFlight.addLast(new SentAttempt(placed.endpoint(), request.request(), this.now));
		}
	}

	private void end(EndpointTable table, SentAttempt attempt) {
		Instant firstToken = attempt.at().plusMillis(100 + this.random.nextInt(100));
		table.firstTokenReceived(attempt.endpoint(), attempt.request(), firstToken);
		Instant last = firstToken.plusMillis(1000 + this.random.nextInt(500));
		table.tokensReceived(attempt.endpoint(), attempt.request(), 50, last);
		table.attemptEnded(attempt.endpoint(), attempt.request(), AttemptOutcome.COMPLETED, last);
	}

	private PlacementRequest request(PlacementPolicyName policy) {
		this.requests++;
		long document = this.random.nextInt(DOCUMENTS);
		List<PromptPrefix> prefixes = new ArrayList<>(PREFIXES_PER_REQUEST);
		for (int i = 0; i < PREFIXES_PER_REQUEST; i++) {
			prefixes.add(new PromptPrefix(document * PREFIXES_PER_REQUEST + i, MINIMUM_PREFIX_TOKENS << i));
		}
		return new PlacementRequest(new RequestId("r" + this.requests), new AccountName("account"), UserModel.MODEL,
				UserModel.LAGON_BLEU.modelProfile(policy), prefixes, 2500, 50, Set.of(), this.now,
				Optional.of(new DataCenterName("dc-" + this.random.nextInt(this.regionSize))));
	}

	private EndpointRegion region() {
		return new EndpointRegion(IntStream.range(0, this.regionSize)
			.mapToObj((number) -> new DataCenterName("dc-" + number))
			.collect(Collectors.toSet()));
	}

	private static EndpointDefinition definition(int number) {
		int dataCenter = number % DATA_CENTERS;
		int zone = number / DATA_CENTERS % ZONES;
		int machineClass = number / DATA_CENTERS / ZONES % MACHINE_CLASSES;
		double price = 1 + 0.1 * dataCenter + 0.03 * zone + 0.7 * machineClass;
		return new EndpointDefinition(new EndpointId("endpoint-" + number), new VmId("vm-" + number),
				new DataCenterName("dc-" + dataCenter), new ZoneName("dc-" + dataCenter + "-" + zone),
				new MachineClass("class-" + machineClass), UserModel.MODEL, "10.0.0.1:" + number, price);
	}

	private static long usedBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	/**
	 * The measurements of one policy.
	 *
	 * @param policy the policy
	 * @param nanosPerPlacement the mean time of a placement
	 * @param bytesPerEndpoint the bytes that an idle endpoint adds
	 * @param bytesPerRequest the bytes that a running request adds
	 * @param learnedBytesPerEndpoint the bytes that an endpoint adds for its learned
	 * state, including its cached prefixes
	 */
	record Row(String policy, double nanosPerPlacement, double bytesPerEndpoint, double bytesPerRequest,
			double learnedBytesPerEndpoint) {
	}

	private record SentAttempt(EndpointId endpoint, RequestId request, Instant at) {
	}

}
