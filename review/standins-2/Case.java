import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Runs a case: prints its verdict, and exits with 1 if the rule was broken, 0 if it held
 * and 2 if the case could not run.
 */
abstract class Case {

	private static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	/**
	 * Runs the case.
	 * @param folder a temporary folder
	 * @param record the record
	 * @param trouble whether the disruption takes place
	 * @return what broke the rule, or {@code null} if it held
	 * @throws Exception if the case could not run
	 */
	abstract String run(Path folder, CaseRecord record, boolean trouble) throws Exception;

	void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("banyancove-review");
		int status;
		try (CaseRecord record = new CaseRecord(Path.of(arguments[0]))) {
			String broken = run(folder, record, trouble);
			record.add("verdict", null, (broken != null) ? "broken: " + broken : "held");
			System.out.println((broken != null) ? "broken: " + broken : "held");
			status = (broken != null) ? BROKEN : 0;
		}
		catch (Exception ex) {
			System.out.println("not run: " + ex);
			status = NOT_RUN;
		}
		try (Stream<Path> files = Files.walk(folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		System.exit(status);
	}

	/**
	 * Returns a configuration of one service.
	 * @param version its version
	 * @param keys the keys of its only tenant, quoted and separated by commas
	 * @return the record
	 */
	static String configuration(int version, String keys) {
		return """
				{"version":%d,"routes":[
				{"name":"look","host":"shop.example","pathPrefix":"/look/","routeKind":"idempotent","timeoutMs":1000,
				"targetLatencyMs":200,"priority":2,"service":"desk","maxAttempts":2},
				{"name":"book","host":"shop.example","pathPrefix":"/book/","routeKind":"non_idempotent","timeoutMs":600,
				"targetLatencyMs":121,"priority":2,"service":"desk","maxAttempts":1}],
				"services":[{"name":"desk","maxConnections":96}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"t","apiKeys":[%s]}]}""".formatted(version, keys);
	}

}
