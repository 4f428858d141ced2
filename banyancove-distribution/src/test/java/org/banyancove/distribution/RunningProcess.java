package org.banyancove.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A banyancove program or a stand-in that runs as a separate process.
 */
final class RunningProcess implements AutoCloseable {

	private static final String LISTENING_LABEL = "listening ";

	private final String name;

	private final Process process;

	private final Path output;

	private final Path errors;

	private RunningProcess(String name, Process process, Path output, Path errors) {
		this.name = name;
		this.process = process;
		this.output = output;
		this.errors = errors;
	}

	static RunningProcess start(Path directory, String name, Class<?> program, List<String> arguments) {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx96m",
						"-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"),
						program.getName()));
		command.addAll(arguments);
		Path output = directory.resolve(name + ".out");
		Path errors = directory.resolve(name + ".err");
		try {
			Process process = new ProcessBuilder(command).redirectOutput(output.toFile())
				.redirectError(errors.toFile())
				.start();
			// Ends the process when the test run is terminated from outside.
			Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
			return new RunningProcess(name, process, output, errors);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	String address() {
		return printedValue(LISTENING_LABEL);
	}

	// The address at which other entries reach this entry.
	String peerAddress() {
		return printedValue("peers ");
	}

	// The address of an additional listener of the platform.
	String listener(String listener) {
		return printedValue("listener " + listener + " ");
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	// Sends SIGTERM, which requests a graceful shutdown.
	void terminate() {
		this.process.destroy();
	}

	// Sends SIGKILL.
	void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	// Sends SIGSTOP, which suspends the process until it is resumed.
	void pause() {
		signal("-STOP");
	}

	void resume() {
		signal("-CONT");
	}

	int awaitExit() {
		try {
			if (!this.process.waitFor(Await.TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
				throw new AssertionError(this.name + " did not exit before the timeout");
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(this.name + ": interrupted while waiting for exit", ex);
		}
	}

	// The lines written to standard error; for an entry, its single error line.
	List<String> errorLines() {
		return lines(this.errors);
	}

	@Override
	public void close() {
		kill();
	}

	private String printedValue(String label) {
		Await.until(this.name + " prints '" + label + "'",
				() -> find(label).isPresent() || find(LISTENING_LABEL).isPresent() || !this.process.isAlive());
		return find(label)
			.orElseThrow(() -> new AssertionError(this.name + " printed no '" + label + "': " + errorLines()));
	}

	private Optional<String> find(String label) {
		return lines(this.output).stream()
			.filter((line) -> line.startsWith(label))
			.map((line) -> line.substring(label.length()).strip())
			.findFirst();
	}

	private void signal(String signal) {
		try {
			int code = new ProcessBuilder("kill", signal, Long.toString(this.process.pid())).inheritIO()
				.start()
				.waitFor();
			if (code != 0) {
				throw new AssertionError("kill " + signal + " of " + this.name + " exited with code " + code);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

	private static List<String> lines(Path file) {
		try {
			return Files.readAllLines(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
