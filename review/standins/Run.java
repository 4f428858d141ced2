import java.nio.file.Path;

/** Runs one case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Run {

	private static final long LIMIT_MILLIS = 112_000;

	private Run() {
	}

	public static void main(String[] args) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Thread.ofPlatform().daemon().start(() -> {
			Kit.sleep(LIMIT_MILLIS);
			System.err.println("the case took too long");
			System.exit(2);
		});
		int result = 2;
		try {
			Kit.open(Path.of(args[3]));
			Kit.log(args[0] + (trouble ? "" : " without the disruption"));
			Path root = Path.of(args[1]);
			Path folder = Path.of(args[2]);
			result = switch (args[0]) {
				case "early-answer" -> EarlyAnswer.run(root, folder, trouble);
				case "long-requests" -> LongRequests.run(root, folder, trouble);
				case "foreign-entry" -> ForeignEntry.run(root, folder, trouble);
				case "mixed-versions" -> MixedVersions.run(root, folder, trouble);
				case "stop-cuts-work" -> StopCutsWork.run(root, folder, trouble);
				default -> 2;
			};
			Kit.log("result " + result);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

}
