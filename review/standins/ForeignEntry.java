import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Another writer leaves an entry in the list of servers, under a key of 210 bytes; later a server drains and leaves. */
final class ForeignEntry {

	/** drainMs, and time for a request to reach the server. */
	private static final double DRAIN_SECONDS = 2.0;

	private ForeignEntry() {
	}

	static int run(Path root, Path folder, boolean trouble) throws Exception {
		Kit.Platform platform = new Kit.Platform();
		platform.put("keyed.op", "config", Kit.CONFIGURATION.replace("VERSION", "1"));
		Map<String, String> runs = new ConcurrentHashMap<>();
		Map<String, Double> arrived = new ConcurrentHashMap<>();
		Kit.Server first = server(platform, "i-desk1", runs, arrived);
		Kit.Gateway gateway = new Kit.Gateway(root, folder, "edge-a-1", platform.port);
		if (!gateway.awaitReady(30000)) {
			return 2;
		}
		Kit.sleep(3000);
		for (int i = 0; i < 5; i++) {
			request(gateway, "a" + i, runs);
		}
		if (trouble) {
			String key = "projects/lagon/zones/mahebourg/agents/" + "x".repeat(172);
			platform.put("keyed.servers", key, "{\"kind\":\"agent\",\"heartbeat\":1}");
			Kit.log("another writer adds an entry under a key of " + key.length() + " bytes");
		}
		Kit.sleep(2000);
		server(platform, "i-desk2", runs, arrived);
		Kit.log("server i-desk2 is added");
		Kit.sleep(4000);
		first.stopBeats();
		first.write("draining");
		double drainedAt = Kit.seconds();
		Kit.log("the store has acknowledged that i-desk1 is draining");
		int late = 0;
		while (Kit.seconds() - drainedAt < 6) {
			String id = "d" + (int) (Kit.seconds() * 1000);
			request(gateway, id, runs);
			if ("i-desk1".equals(runs.get(id)) && arrived.get(id) - drainedAt > DRAIN_SECONDS) {
				late++;
			}
			Kit.sleep(100);
		}
		Kit.log("requests that reached i-desk1 later than drainMs after the acknowledgement: " + late);
		first.leave();
		Kit.log("i-desk1 has left, its entry is removed; i-desk2 is ready");
		Kit.sleep(3000);
		int unserved = 0;
		for (int i = 0; i < 20; i++) {
			unserved += (request(gateway, "l" + i, runs) != 200) ? 1 : 0;
			Kit.sleep(50);
		}
		Kit.log("requests of 20 that were not served 3 s later, though i-desk2 is ready: " + unserved);
		Kit.Gateway added = new Kit.Gateway(root, folder, "edge-a-2", platform.port);
		Kit.log("a second gateway, started now, becomes ready within 15 s: " + added.awaitReady(15000));
		if (!trouble && unserved > 0) {
			return 2;
		}
		return (late > 0) ? 1 : 0;
	}

	private static int request(Kit.Gateway gateway, String id, Map<String, String> runs) {
		Kit.Answer answer = Kit.call(gateway.callers, "GET", "/look/" + id, id, 2000, null);
		Kit.log("client: " + id + " got " + answer.status() + " " + answer.cause() + ", run by " + runs.get(id));
		return answer.status();
	}

	private static Kit.Server server(Kit.Platform platform, String id, Map<String, String> runs,
			Map<String, Double> arrived) throws Exception {
		return new Kit.Server(platform, id, "desk", 0, (request, connection, in, out) -> {
			String attempt = request.header("X-Banyancove-Attempt-Id");
			arrived.put(attempt, Kit.seconds());
			runs.put(attempt, id);
			Kit.sleep(20);
			out.write((Kit.answerHead(request, "Content-Length: 4\r\n") + "done").getBytes());
			out.flush();
			return true;
		});
	}

}
