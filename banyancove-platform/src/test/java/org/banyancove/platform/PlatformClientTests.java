package org.banyancove.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.error.BanyancoveException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

@SuppressWarnings("NullAway.Init")
class PlatformClientTests {

	private static final StartRequest REQUEST = new StartRequest("token-1", new DataCenterName("mahebourg"),
			new ZoneName("mahebourg-a"), new MachineClass("small"), true, new ServiceName("feed"));

	private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

	private HttpServer server;

	private PlatformConnection connection;

	private volatile String lastRequest = "";

	private volatile int status = 200;

	private volatile String answer = "{}";

	@BeforeEach
	void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", this::serve);
		this.server.start();
		URI address = URI.create("http://127.0.0.1:" + this.server.getAddress().getPort());
		this.connection = new PlatformConnection(address, Duration.ofSeconds(5), this.executor);
	}

	@AfterEach
	void stop() {
		this.connection.close();
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	@Test
	void readsALogPage() {
		respondWith(200, """
				{"firstRetained":3,"endOffset":6,"later":"field","records":[
				{"offset":5,"id":"r","data":"d","appendedAt":"2026-01-01T00:00:00Z"}]}""");
		assertThat(new LogClient(this.connection).read("keys-0", 4, 10, Duration.ofMillis(7)).join())
			.isEqualTo(new LogPage(3, 6, List.of(new LogRecord(5, "r", "d", Instant.parse("2026-01-01T00:00:00Z")))));
		assertThat(this.lastRequest).isEqualTo("GET /log/keys-0/records?from=4&limit=10&waitMillis=7 ");
	}

	@Test
	void distinguishesRejectedFromUnansweredAppends() {
		LogClient log = new LogClient(this.connection);
		List<NewRecord> records = List.of(new NewRecord("r", "d"));
		respondWith(429, "{}");
		assertThat(log.append("profiles", records).join()).isInstanceOfSatisfying(AppendResult.Refused.class,
				(refused) -> assertThat(refused.retryAfter()).isEqualTo(Duration.ofMillis(1500)));
		assertThat(this.lastRequest)
			.isEqualTo("POST /log/profiles/records {\"records\":[{\"id\":\"r\",\"data\":\"d\"}]}");
		respondWith(500, "{}");
		assertThat(log.append("profiles", records).join()).isInstanceOf(AppendResult.Unanswered.class);
		respondWith(200, "{\"firstOff");
		assertThat(log.append("profiles", records).join()).isInstanceOf(AppendResult.Unanswered.class);
	}

	@Test
	void readsTheVmList() {
		respondWith(200, """
				{"asOf":"2026-01-01T00:00:00Z","vms":[
				{"id":"e1","dataCenter":"north1","zone":"north1-a","machineClass":"small","role":"engine",
				"service":"drafts","address":"127.0.0.1:9","state":"leaving","reclaimAt":"2026-01-01T00:00:30Z"},
				{"id":"x","dataCenter":"north1","zone":"north1-a","machineClass":"small","role":"entry",
				"state":"live"},
				{"id":"y","dataCenter":"north1","zone":"north1-a","machineClass":"small","role":"later",
				"state":"later"}]}""");
		assertThat(new VmListClient(this.connection).read().join().vms()).extracting(ListedVm::role)
			.containsExactly(VmRole.ENGINE, VmRole.ENTRY, VmRole.UNKNOWN);
		assertThat(new VmListClient(this.connection).read().join().vms().getFirst())
			.isEqualTo(new ListedVm(new VmId("e1"), new DataCenterName("north1"), new ZoneName("north1-a"),
					new MachineClass("small"), VmRole.ENGINE, new ServiceName("drafts"), "127.0.0.1:9", VmState.LEAVING,
					Instant.parse("2026-01-01T00:00:30Z")));
	}

	@Test
	void readsNotices() {
		respondWith(200, "{\"notices\":[{\"sequence\":4,\"vm\":\"e1\",\"reclaimAt\":\"2026-01-01T00:00:30Z\"}]}");
		assertThat(new NoticeClient(this.connection).read(3, Duration.ZERO).join())
			.containsExactly(new ReclaimNotice(4, new VmId("e1"), Instant.parse("2026-01-01T00:00:30Z")));
	}

	@Test
	void startsAndStopsVms() {
		CloudClient cloud = new CloudClient(this.connection);
		respondWith(200, "{\"id\":\"vm-1\"}");
		assertThat(cloud.start(REQUEST).join()).isEqualTo(new StartResult.Started(new VmId("vm-1")));
		assertThat(this.lastRequest).contains("\"clientToken\":\"token-1\"", "\"reclaimable\":true");
		respondWith(503, "{}");
		assertThat(cloud.start(REQUEST).join()).isInstanceOf(StartResult.Refused.class);
		respondWith(404, "{}");
		assertThat(cloud.stop(new VmId("vm-1"))).succeedsWithin(Duration.ofSeconds(10));
		respondWith(500, "{}");
		assertThatExceptionOfType(Exception.class).isThrownBy(cloud.stop(new VmId("vm-1"))::join)
			.withCauseInstanceOf(BanyancoveException.class);
	}

	@Test
	void listsVmsAndPrices() {
		CloudClient cloud = new CloudClient(this.connection);
		respondWith(200, """
				{"vms":[{"id":"vm-1","clientToken":"t","zone":"z","machineClass":"small","reclaimable":false,
				"state":"live","startedAt":"2026-01-01T00:00:00Z"}]}""");
		assertThat(cloud.list("t").join()).extracting(CloudVm::clientToken).containsExactly("t");
		respondWith(200,
				"{\"prices\":[{\"zone\":\"z\",\"machineClass\":\"small\",\"reclaimable\":true,\"perHour\":0.25}]}");
		assertThat(cloud.prices().join())
			.containsExactly(new VmPrice(new ZoneName("z"), new MachineClass("small"), true, 0.25));
	}

	@Test
	void fetchesWeightsAndReportsRateLimiting() {
		WeightStoreClient store = new WeightStoreClient(this.connection);
		respondWith(200, "{\"bytes\":7}");
		assertThat(store.fetch("m").join()).isEqualTo(new WeightResult.Fetched(7));
		respondWith(429, "{}");
		assertThat(store.fetch("m").join()).isEqualTo(new WeightResult.Refused(Duration.ofMillis(1500)));
	}

	private void respondWith(int status, String answer) {
		this.status = status;
		this.answer = answer;
	}

	private void serve(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		this.lastRequest = exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body;
		byte[] bytes = this.answer.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Retry-After", "1.5");
		exchange.sendResponseHeaders(this.status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

}
