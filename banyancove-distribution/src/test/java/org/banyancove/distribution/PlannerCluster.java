package org.banyancove.distribution;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.planner.PlannerProgram;
import org.banyancove.standins.StandinsProgram;

/**
 * Runs the planners of one data center with three zones, the platform, and engines as the
 * machines on which the cloud starts VMs, each as a separate process.
 */
final class PlannerCluster implements AutoCloseable {

	static final String DATA_CENTER = "north1";

	static final List<String> ZONES = List.of("north1-a", "north1-b", "north1-c");

	static final String MODEL = "scores-7";

	// Zone a is the cheapest and zone c the most expensive. A reclaimable VM costs
	// a third of the price of an on-demand VM.
	private static final double PRICE_STEP = 0.1;

	private static final int ENGINE_CAPACITY = 10;

	private final ObjectMapper mapper = new ObjectMapper();

	private final ProcessCluster processes;

	private int engines;

	private final List<RunningProcess> planners = new ArrayList<>();

	private final int target;

	PlannerCluster(Path directory, int target) {
		this.processes = new ProcessCluster(directory);
		this.target = target;
		List<String> arguments = new ArrayList<>(List.of("platform", "--list-lag", "200ms", "--listener", DATA_CENTER,
				"--weight-loads-per-second", "50"));
		for (String zone : ZONES) {
			double price = 1 + PRICE_STEP * ZONES.indexOf(zone);
			arguments.addAll(List.of("--price", zone + ",gpu,reclaimable," + price));
			arguments.addAll(List.of("--price", zone + ",gpu,on-demand," + 3 * price));
		}
		this.processes.startProgram("platform", StandinsProgram.class, arguments.toArray(String[]::new));
	}

	RunningProcess platform() {
		return this.processes.platform();
	}

	Caller caller() {
		return this.processes.caller();
	}

	// Starts an engine that becomes the next VM that the cloud starts in the zone.
	RunningProcess startMachine(String zone, boolean checksFence) {
		String id = "engine-" + this.engines++;
		RunningProcess engine = this.processes.startProgram(id, StandinsProgram.class, "engine", "--id", id,
				"--check-fence", String.valueOf(checksFence));
		post(platform(), "/standin/machines",
				this.mapper.createObjectNode()
					.put("zone", zone)
					.put("machineClass", "gpu")
					.put("address", engine.address()));
		return engine;
	}

	RunningProcess startPlanner(String id) {
		Path settings = this.processes.write(id + ".toml", """
				[process]
				vm = "%s"
				data-center = "%s"
				[platform]
				address = "http://%s"
				timeout = "500ms"
				[capacity]
				target = %d
				service = "scores"
				zones = ["%s"]
				[[machines]]
				name = "gpu"
				capacity = %d
				[engines]
				models = ["%s"]
				[pace]
				lease = "2s"
				list-interval = "200ms"
				order-interval = "300ms"
				refused-start = "1s"
				loads-per-second = 50.0
				""".formatted(id, DATA_CENTER, platform().address(), this.target, String.join("\", \"", ZONES),
				ENGINE_CAPACITY, MODEL));
		RunningProcess planner = this.processes.startProgram(id, PlannerProgram.class, "--settings",
				settings.toString());
		this.planners.add(planner);
		return planner;
	}

	JsonNode status(RunningProcess planner) {
		return caller().get(planner.address(), "/status").json();
	}

	// The fencing number of the planner, or -1 while it is not allowed to act.
	long fence(RunningProcess planner) {
		return status(planner).path("fence").asLong(-1);
	}

	String metrics(RunningProcess planner) {
		return caller().get(planner.address(), "/metrics").body();
	}

	// The number of invariant violations that the planners detected themselves.
	long invariantViolations() {
		return this.planners.stream()
			.filter(RunningProcess::isAlive)
			.flatMap((planner) -> metrics(planner).lines())
			.filter((line) -> line.startsWith("banyancove_planner_invariant_violations_total"))
			.mapToLong((line) -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

	// The number of running VMs by zone.
	Map<String, Integer> runningVmsByZone() {
		Map<String, Integer> runningVmsByZone = new TreeMap<>();
		JsonNode vms = caller().get(platform().address(), "/cloud/vms?tokenPrefix=" + DATA_CENTER).json().path("vms");
		vms.forEach((vm) -> runningVmsByZone.merge(vm.path("zone").asText(), 1, Integer::sum));
		return runningVmsByZone;
	}

	// The number of VMs that were started, including those that no longer run.
	int startedCount() {
		return caller().get(platform().address(), "/standin/runs").json().path("runs").size();
	}

	JsonNode orders(RunningProcess engine) {
		return caller().get(engine.address(), "/v1/orders").json();
	}

	boolean hasModel(RunningProcess engine) {
		return orders(engine).path("models").toString().equals("[\"" + MODEL + "\"]");
	}

	// Sends an order to an engine as a planner does. Returns the HTTP status.
	int sendOrder(RunningProcess engine, long fence, String model) {
		ObjectNode order = this.mapper.createObjectNode().put("fence", fence).put("role", "mixed");
		order.putArray("models").add(model);
		return post(engine, "/v1/orders", order).status();
	}

	@Override
	public void close() {
		this.processes.close();
	}

	private CallResponse post(RunningProcess process, String path, ObjectNode body) {
		return caller().call("POST", process.address(), path, body.toString());
	}

}
