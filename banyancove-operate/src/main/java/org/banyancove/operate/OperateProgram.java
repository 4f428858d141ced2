package org.banyancove.operate;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.error.BanyancoveException;
import org.banyancove.core.error.ErrorKind;
import org.banyancove.core.profile.DecidedChange;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.profile.ProfileRecord;
import org.banyancove.core.profile.ProfileTable;
import org.banyancove.core.profile.PublishedProfile;
import org.banyancove.core.profile.PublishedService;
import org.banyancove.core.profile.ServiceDefinition;
import org.banyancove.core.profile.ServiceState;
import org.banyancove.platform.LogClient;
import org.banyancove.platform.PlatformConnection;
import org.banyancove.platform.profile.ProfileStream;
import org.banyancove.program.CommandLineProgram;
import org.banyancove.program.ExitCode;
import org.banyancove.program.SettingsReader;
import org.jspecify.annotations.Nullable;

/**
 * Command-line program for operators: publishes, changes, lists, shows and retires
 * profiles and services on the platform's log, and prints the status of an entry.
 */
public final class OperateProgram extends CommandLineProgram<OperateSettings> {

	private static final int MAXIMUM_STATUS_BYTES = 32 << 20;

	private static final String STATUS_PATH = "/status";

	private final SettingsReader reader = new SettingsReader();

	private final Commands.GlobalOptions globalOptions = new Commands.GlobalOptions();

	private final Commands.Publish publish = new Commands.Publish();

	private final Commands.Change change = new Commands.Change();

	private final Commands.Show show = new Commands.Show();

	private final Commands.Retire retire = new Commands.Retire();

	private final Commands.Status status = new Commands.Status();

	/**
	 * Creates the program.
	 * @param output the stream for results
	 * @param errors the stream for the error line
	 */
	public OperateProgram(PrintStream output, PrintStream errors) {
		super("banyancove-operate", OperateSettings.class, output, errors);
	}

	/**
	 * Runs the program and ends the process.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new OperateProgram(System.out, System.err).execute(arguments).code());
	}

	@Override
	protected void configure(JCommander commander) {
		commander.addObject(this.globalOptions);
		commander.addCommand(Commands.PUBLISH, this.publish);
		commander.addCommand(Commands.CHANGE, this.change);
		commander.addCommand(Commands.LIST, new Commands.ListAll());
		commander.addCommand(Commands.SHOW, this.show);
		commander.addCommand(Commands.RETIRE, this.retire);
		commander.addCommand(Commands.STATUS, this.status);
		commander.addCommand(Commands.KEYS, new Commands.Keys());
	}

	@Override
	protected ExitCode run(OperateSettings settings, JCommander commander) throws Exception {
		String command = commander.getParsedCommand();
		if (command == null) {
			throw new ParameterException("no command is given");
		}
		if (Commands.STATUS.equals(command)) {
			return status(this.status.entry, settings.callTimeout());
		}
		if (Commands.KEYS.equals(command)) {
			this.reader.describe(ProfilesFile.class).forEach(output()::println);
			return ExitCode.SUCCESS;
		}
		URI platform = (this.globalOptions.platform != null) ? this.globalOptions.platform : settings.platform();
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
				PlatformConnection connection = new PlatformConnection(platform, settings.callTimeout(), executor)) {
			ProfileStream stream = new ProfileStream(new LogClient(connection));
			return run(command, new ProfilePublisher(stream, settings.patience(), InstantSource.system()));
		}
	}

	private ExitCode run(String command, ProfilePublisher publisher) throws InterruptedException {
		return switch (command) {
			case Commands.PUBLISH -> publish(publisher, this.publish.file);
			case Commands.CHANGE -> change(publisher, this.change.file, this.change.expectedRevision);
			case Commands.LIST -> list(publisher.read().table());
			case Commands.SHOW -> show(publisher.read().table(), this.show.name);
			case Commands.RETIRE -> retire(publisher, new ServiceName(this.retire.service));
			default -> throw new ParameterException("unknown command " + command);
		};
	}

	private ExitCode publish(ProfilePublisher publisher, Path path) throws InterruptedException {
		ProfilesFile file = this.reader.read(path, ProfilesFile.class);
		ProfileTable table = publisher.read().table();
		List<ProfileRecord.Change> changes = new ArrayList<>();
		for (ProfilesFile.ProfileTable entry : file.profiles()) {
			PublishedProfile current = table.profile(entry.name());
			if (current == null || !current.profile().equals(entry.profile())) {
				changes.add(new ProfileRecord.ProfileChanged(newRecordId(), revision(current), entry.profile()));
			}
		}
		for (ProfilesFile.ServiceTable entry : file.services()) {
			PublishedService current = table.service(entry.name());
			// Publishing a file again must not reactivate a retired service.
			if (current != null && current.service().state() == ServiceState.RETIRED) {
				output().println("skipped retired service " + entry.name() + "; use change to reactivate it");
			}
			else if (current == null || !current.service().equals(entry.service())) {
				changes.add(new ProfileRecord.ServiceChanged(newRecordId(), revision(current), entry.service()));
			}
		}
		return publish(publisher, changes);
	}

	private ExitCode change(ProfilePublisher publisher, Path path, long expectedRevision) throws InterruptedException {
		ProfilesFile file = this.reader.read(path, ProfilesFile.class);
		if (file.profiles().size() + file.services().size() != 1) {
			throw new BanyancoveException(ErrorKind.SETTINGS_INVALID,
					path + ": change expects one profile or one service in the file; profiles and services found: "
							+ file.profiles().size() + " and " + file.services().size());
		}
		publisher.read();
		if (!file.profiles().isEmpty()) {
			Profile profile = file.profiles().getFirst().profile();
			return publish(publisher,
					List.of(new ProfileRecord.ProfileChanged(newRecordId(), expectedRevision, profile)));
		}
		ServiceDefinition service = file.services().getFirst().service();
		return publish(publisher, List.of(new ProfileRecord.ServiceChanged(newRecordId(), expectedRevision, service)));
	}

	private ExitCode retire(ProfilePublisher publisher, ServiceName service) throws InterruptedException {
		PublishedService current = publisher.read().table().service(service);
		if (current == null) {
			throw new BanyancoveException(ErrorKind.SERVICE_UNKNOWN, "No service '" + service + "' is published");
		}
		Long givenRevision = this.retire.expectedRevision;
		long expectedRevision = (givenRevision != null) ? givenRevision : current.revision();
		return publish(publisher, List.of(new ProfileRecord.ServiceRetired(newRecordId(), expectedRevision, service)));
	}

	private ExitCode publish(ProfilePublisher publisher, List<ProfileRecord.Change> changes)
			throws InterruptedException {
		if (changes.isEmpty()) {
			output().println("unchanged");
			return ExitCode.SUCCESS;
		}
		List<DecidedChange> decisions = publisher.publish(changes);
		ExitCode code = ExitCode.SUCCESS;
		for (int i = 0; i < changes.size(); i++) {
			DecidedChange decision = decisions.get(i);
			if (decision.accepted()) {
				output().println("accepted " + decision.offset() + " " + describe(changes.get(i)));
			}
			else {
				output().println("rejected " + describe(changes.get(i)) + " made from revision "
						+ changes.get(i).expectedRevision());
				code = ExitCode.REVISION_CONFLICT;
			}
		}
		if (code != ExitCode.SUCCESS) {
			throw new BanyancoveException(ErrorKind.REVISION_CONFLICT,
					"A change is based on a revision that is no longer the latest, or names a profile that is not"
							+ " published; see list");
		}
		return code;
	}

	private ExitCode list(ProfileTable table) {
		output().printf("%-10s %-32s %10s  %s%n", "object", "name", "revision", "");
		table.profiles()
			.forEach((published) -> output().printf("%-10s %-32s %10d  %s%n", "profile", published.profile().name(),
					published.revision(), "objective " + published.profile().objective()));
		table.services()
			.forEach((published) -> output().printf("%-10s %-32s %10d  %s%n", "service", published.service().name(),
					published.revision(),
					published.service().state() + " under profile " + published.service().profile()));
		return ExitCode.SUCCESS;
	}

	private ExitCode show(ProfileTable table, String name) {
		PublishedProfile profile = table.profile(new ProfileName(name));
		PublishedService service = table.service(new ServiceName(name));
		if (profile == null && service == null) {
			throw new BanyancoveException(ErrorKind.SERVICE_UNKNOWN,
					"No profile or service '" + name + "' is published");
		}
		if (profile != null) {
			output().println(ProfileTomlFormatter.format(profile));
		}
		if (service != null) {
			output().println(ProfileTomlFormatter.format(service));
		}
		return ExitCode.SUCCESS;
	}

	private ExitCode status(URI entry, Duration timeout) throws InterruptedException {
		try (HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
			HttpRequest request = HttpRequest.newBuilder(entry.resolve(STATUS_PATH)).timeout(timeout).build();
			HttpResponse<String> response = client.send(request,
					HttpResponse.BodyHandlers.limiting(HttpResponse.BodyHandlers.ofString(), MAXIMUM_STATUS_BYTES));
			output().println(response.body());
			return (response.statusCode() == 200) ? ExitCode.SUCCESS : ExitCode.FAILURE;
		}
		catch (IOException ex) {
			throw new BanyancoveException(ErrorKind.INTERNAL, "The entry at " + entry + " does not respond: " + ex, ex);
		}
	}

	private static String describe(ProfileRecord.Change change) {
		return switch (change) {
			case ProfileRecord.ProfileChanged changed -> "profile " + changed.profile().name();
			case ProfileRecord.ServiceChanged changed -> "service " + changed.service().name();
			case ProfileRecord.ServiceRetired retired -> "service " + retired.service() + " retired";
		};
	}

	private static long revision(@Nullable PublishedProfile current) {
		return (current != null) ? current.revision() : ProfileTable.NO_REVISION;
	}

	private static long revision(@Nullable PublishedService current) {
		return (current != null) ? current.revision() : ProfileTable.NO_REVISION;
	}

	private static String newRecordId() {
		return UUID.randomUUID().toString();
	}

}
