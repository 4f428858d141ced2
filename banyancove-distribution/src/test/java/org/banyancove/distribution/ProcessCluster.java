package org.banyancove.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.ledger.KeySlot;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTable;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceKind;
import org.banyancove.core.profile.ServiceState;
import org.banyancove.entry.EntryProgram;
import org.banyancove.platform.profile.ProfileRecordCodec;
import org.banyancove.standins.StandinsProgram;

/**
 * Runs a platform, endpoints and entries as separate processes on loopback. Endpoints are
 * started first, then the platform that lists them, then entries. {@link #close()} ends
 * all processes.
 */
final class ProcessCluster implements AutoCloseable {

	static final String FEED_PLANNING = "feed-planning";

	static final String ORDERS = "orders";

	static final Profile FEED_PLANNING_PROFILE = profile("dawn", Duration.ofSeconds(60));

	// The deadline limits how long a repeated call waits for the outcome of a call
	// whose claimant has failed.
	static final Profile ORDERS_PROFILE = profile("day", Duration.ofSeconds(5));

	static final ServiceDefinition FEED_PLANNING_SERVICE = new ServiceDefinition(new ServiceName(FEED_PLANNING),
			ServiceKind.MODEL, FEED_PLANNING_PROFILE.name(), ServiceState.ACTIVE, Set.of(), false);

	static final ServiceDefinition ORDERS_SERVICE = new ServiceDefinition(new ServiceName(ORDERS), ServiceKind.PLAIN,
			ORDERS_PROFILE.name(), ServiceState.ACTIVE, Set.of("GET"), false);

	static final ProfileRecord FEED_PLANNING_PROFILE_CREATED = new ProfileRecord.ProfileChanged("profile-dawn",
			ProfileTable.NO_REVISION, FEED_PLANNING_PROFILE);

	static final ProfileRecord FEED_PLANNING_SERVICE_CREATED = new ProfileRecord.ServiceChanged("service-feed",
			ProfileTable.NO_REVISION, FEED_PLANNING_SERVICE);

	private static final String LIST_LAG = "500ms";

	private final ProfileRecordCodec codec = new ProfileRecordCodec();

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, RunningProcess> processes = new LinkedHashMap<>();

	private final Map<String, RunningProcess> entries = new LinkedHashMap<>();

	private final Map<String, RunningProcess> services = new LinkedHashMap<>();

	private final Map<String, String> platformAddresses = new LinkedHashMap<>();

	private final Map<RunningProcess, String> idsByProcess = new HashMap<>();

	private final List<ListedEndpoint> endpoints = new ArrayList<>();

	private final Caller caller = new Caller();

	private final Path directory;

	ProcessCluster(Path directory) {
		this.directory = directory;
	}

	Caller caller() {
		return this.caller;
	}

	RunningProcess startEngine(String id, String dataCenter, int tokensPerSecond) {
		RunningProcess engine = start(id, StandinsProgram.class, "engine", "--id", id, "--tokens-per-second",
				Integer.toString(tokensPerSecond));
		registerEndpoint(new ListedEndpoint(id, dataCenter, "gpu", "engine", FEED_PLANNING, engine));
		return engine;
	}

	RunningProcess startOrderService(String id, String dataCenter) {
		RunningProcess service = start(id, StandinsProgram.class, "service", "--id", id, "--service", ORDERS,
				"--latency", "5ms");
		registerEndpoint(new ListedEndpoint(id, dataCenter, "small", "service", ORDERS, service));
		this.services.put(id, service);
		return service;
	}

	// Starts the platform with the endpoints started so far. Each data center has
	// its own listener, which can be made unresponsive; the entries of the data
	// center use it.
	RunningProcess startPlatform(String... dataCenters) {
		List<String> arguments = new ArrayList<>(List.of("platform", "--list-lag", LIST_LAG));
		this.endpoints.forEach((endpoint) -> arguments.addAll(List.of("--vm", endpoint.option())));
		List.of(dataCenters).forEach((dataCenter) -> arguments.addAll(List.of("--listener", dataCenter)));
		RunningProcess platform = start("platform", StandinsProgram.class, arguments.toArray(String[]::new));
		List.of(dataCenters)
			.forEach((dataCenter) -> this.platformAddresses.put(dataCenter, platform.listener(dataCenter)));
		return platform;
	}

	RunningProcess platform() {
		return process("platform");
	}

	// Starts an entry with one running entry as its seed, from which it discovers
	// the others.
	RunningProcess startEntry(String id, String dataCenter) {
		return startEntry(id, dataCenter, "");
	}

	// Starts an entry with additional settings in TOML.
	RunningProcess startEntry(String id, String dataCenter, String additionalSettings) {
		Path settings = write(id + ".toml", settings(id, dataCenter) + additionalSettings);
		RunningProcess entry = start(id, EntryProgram.class, "--settings", settings.toString());
		this.entries.put(id, entry);
		registerVm(vm(id, dataCenter, "small", "entry", entry.peerAddress()));
		return entry;
	}

	RunningProcess process(String id) {
		RunningProcess process = this.processes.get(id);
		if (process == null) {
			throw new IllegalArgumentException("Unknown process '" + id + "'");
		}
		return process;
	}

	List<RunningProcess> engines() {
		return this.endpoints.stream()
			.filter((endpoint) -> endpoint.role().equals("engine") && endpoint.process().isAlive())
			.map(ListedEndpoint::process)
			.toList();
	}

	List<RunningProcess> engines(String dataCenter) {
		return this.endpoints.stream()
			.filter((endpoint) -> endpoint.dataCenter().equals(dataCenter) && engines().contains(endpoint.process()))
			.map(ListedEndpoint::process)
			.toList();
	}

	Collection<RunningProcess> services() {
		return this.services.values().stream().filter(RunningProcess::isAlive).toList();
	}

	Collection<RunningProcess> entries() {
		return this.entries.values().stream().filter(RunningProcess::isAlive).toList();
	}

	RunningProcess startProgram(String id, Class<?> program, String... arguments) {
		return start(id, program, arguments);
	}

	String settings(String id, String dataCenter) {
		String seed = entries().stream().findFirst().map((entry) -> "\"" + entry.peerAddress() + "\"").orElse("");
		String nearby = String.join(", ",
				this.platformAddresses.keySet()
					.stream()
					.filter((other) -> !other.equals(dataCenter))
					.map((other) -> "\"" + other + "\"")
					.toList());
		return """
				[process]
				vm = "%s"
				data-center = "%s"
				zone = "%s-a"
				[[accounts]]
				name = "north-pens"
				credential = "demo"
				[platform]
				address = "http://%s"
				[peers]
				seeds = [%s]
				nearby = [%s]
				""".formatted(id, dataCenter, dataCenter, this.platformAddresses.get(dataCenter), seed, nearby);
	}

	Path write(String name, String text) {
		try {
			return Files.writeString(this.directory.resolve(name), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Publishes a model service and a plain service, each with its own profile, and
	// waits until every entry can serve both. Returns the revision of the model
	// service.
	long publishServices() {
		long first = publish(FEED_PLANNING_PROFILE_CREATED, FEED_PLANNING_SERVICE_CREATED,
				new ProfileRecord.ProfileChanged("profile-day", ProfileTable.NO_REVISION, ORDERS_PROFILE),
				new ProfileRecord.ServiceChanged("service-orders", ProfileTable.NO_REVISION, ORDERS_SERVICE));
		awaitServing();
		return first + 1;
	}

	void awaitServing() {
		Set<String> aliveIds = new HashSet<>();
		this.endpoints.stream()
			.filter((endpoint) -> endpoint.process().isAlive())
			.forEach((endpoint) -> aliveIds.add(endpoint.id()));
		for (RunningProcess entry : entries()) {
			Await.until("an entry is ready and lists the endpoints " + aliveIds,
					() -> this.caller.get(entry.address(), "/readyz").status() == 200
							&& endpointsInState(entry, "LIVE").containsAll(aliveIds));
		}
	}

	// The ids of the endpoints that are in a state according to an entry.
	Set<String> endpointsInState(RunningProcess entry, String state) {
		Set<String> found = new HashSet<>();
		for (JsonNode endpoint : status(entry).path("endpoints")) {
			if (endpoint.path("state").asText().equals(state)) {
				found.add(endpoint.path("id").asText());
			}
		}
		return found;
	}

	// The engine that runs the only stream of an entry.
	RunningProcess engineInUse(RunningProcess entry) {
		for (JsonNode endpoint : status(entry).path("endpoints")) {
			if (endpoint.path("inFlight").asInt() > 0) {
				return process(endpoint.path("id").asText());
			}
		}
		throw new AssertionError("No engine has a request in flight: " + status(entry));
	}

	// The number of requests in flight at the endpoints of a service according to
	// an entry.
	int inFlight(RunningProcess entry, String service) {
		int inFlight = 0;
		for (JsonNode endpoint : status(entry).path("endpoints")) {
			if (endpoint.path("service").asText().equals(service)) {
				inFlight += endpoint.path("inFlight").asInt();
			}
		}
		return inFlight;
	}

	// Appends records to the profile stream. Returns the offset of the first
	// record.
	long publish(ProfileRecord... records) {
		ObjectNode append = this.mapper.createObjectNode();
		ArrayNode list = append.putArray("records");
		for (ProfileRecord record : records) {
			String id = (record instanceof ProfileRecord.Change change) ? change.recordId() : "checkpoint";
			list.addObject().put("id", id).put("data", this.codec.encode(record));
		}
		CallResponse response = this.caller.call("POST", platform().address(), "/log/profiles/records",
				append.toString());
		if (response.status() != 200) {
			throw new AssertionError("Append to the profile stream failed: " + response);
		}
		return response.json().path("firstOffset").asLong();
	}

	// Sends a reclaim notice for the VM of a process.
	void sendReclaimNotice(RunningProcess process, Duration in) {
		ObjectNode notice = this.mapper.createObjectNode()
			.put("vm", this.idsByProcess.get(process))
			.put("inMillis", in.toMillis());
		postToPlatform("/standin/notices", notice);
	}

	// The number of runs of a key, summed over all running order services.
	int runCount(String key) {
		return runsByKey().getOrDefault(key, 0);
	}

	int maximumRunsPerKey() {
		return runsByKey().values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	// The number of tokens that engines recomputed for a stream that moved between
	// engines.
	long recomputedTokens() {
		return this.endpoints.stream()
			.filter((endpoint) -> endpoint.role().equals("engine") && endpoint.process().isAlive())
			.mapToLong((endpoint) -> this.caller.get(endpoint.process().address(), "/standin/tokens")
				.json()
				.path("recomputedTokens")
				.asLong())
			.sum();
	}

	// Whether any key slot stream of the log has a record of a kind for a key.
	boolean logContains(String kind, String key) {
		for (int slot = 0; slot < KeySlot.DEFAULT_COUNT; slot++) {
			String path = "/log/" + new KeySlot(slot).streamName() + "/records?from=0";
			for (JsonNode record : this.caller.get(platform().address(), path).json().path("records")) {
				String data = record.path("data").asText();
				if (data.contains("\"" + kind + "\"") && data.contains("\"" + key + "\"")) {
					return true;
				}
			}
		}
		return false;
	}

	JsonNode status(RunningProcess entry) {
		return this.caller.get(entry.address(), "/status").json();
	}

	// The number of invariant violations that the entries detected themselves.
	long invariantViolations() {
		return entries().stream()
			.mapToLong((entry) -> status(entry).at("/counters/invariantViolations").asLong())
			.sum();
	}

	@Override
	public void close() {
		this.processes.values().forEach(RunningProcess::close);
	}

	private static Profile profile(String name, Duration deadline) {
		return new Profile(new ProfileName(name), Duration.ofSeconds(2), Duration.ofMillis(100), deadline, 0.95, 1,
				PlacementPolicyName.COST_AT_TARGET, 0.2, 0.5, false, 1_000_000);
	}

	private void registerEndpoint(ListedEndpoint endpoint) {
		this.endpoints.add(endpoint);
		if (this.processes.containsKey("platform")) {
			registerVm(vm(endpoint.id(), endpoint.dataCenter(), endpoint.machineClass(), endpoint.role(),
					endpoint.process().address())
				.put("service", endpoint.service()));
		}
	}

	private ObjectNode vm(String id, String dataCenter, String machineClass, String role, String address) {
		return this.mapper.createObjectNode()
			.put("id", id)
			.put("dataCenter", dataCenter)
			.put("zone", dataCenter + "-a")
			.put("machineClass", machineClass)
			.put("role", role)
			.put("address", address)
			.put("state", "live");
	}

	private void registerVm(ObjectNode vm) {
		postToPlatform("/standin/vms", vm);
	}

	// Fails on a rejected request: the test would otherwise run without the fault
	// that it injects.
	private void postToPlatform(String path, ObjectNode body) {
		CallResponse response = this.caller.call("POST", platform().address(), path, body.toString());
		if (response.status() != 200) {
			throw new AssertionError("The platform rejected " + path + " " + body + ": " + response);
		}
	}

	private Map<String, Integer> runsByKey() {
		Map<String, Integer> runs = new HashMap<>();
		for (RunningProcess service : services()) {
			for (JsonNode run : this.caller.get(service.address(), "/standin/runs").json().path("runs")) {
				runs.merge(run.path("key").asText(), run.path("count").asInt(), Integer::sum);
			}
		}
		return runs;
	}

	private RunningProcess start(String id, Class<?> program, String... arguments) {
		RunningProcess process = RunningProcess.start(this.directory, id, program, List.of(arguments));
		this.processes.put(id, process);
		this.idsByProcess.put(process, id);
		return process;
	}

	/**
	 * An endpoint in the list of the platform.
	 */
	private record ListedEndpoint(String id, String dataCenter, String machineClass, String role, String service,
			RunningProcess process) {

		// The command line option that lists the endpoint; waits until the process
		// has printed its address.
		String option() {
			return String.join(",", this.id, this.dataCenter, this.dataCenter + "-a", this.machineClass, this.role,
					this.service, this.process.address());
		}

	}

}
