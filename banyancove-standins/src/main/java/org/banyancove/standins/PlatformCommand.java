package org.banyancove.standins;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.banyancove.program.ExitCode;
import org.banyancove.standins.platform.PlatformOptions;
import org.banyancove.standins.platform.PlatformStandin;
import org.banyancove.standins.platform.Price;
import org.banyancove.standins.platform.VmDescription;
import org.banyancove.standins.support.Json;
import org.jspecify.annotations.Nullable;

/**
 * Runs the stand-in of the platform.
 */
@Parameters(commandDescription = "The platform: log, VM list, notices, cloud API and weight store")
final class PlatformCommand implements StandinCommand {

	@Parameter(names = "--address", converter = AddressConverter.class, description = "The address to listen on")
	private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	@Parameter(names = "--vms", converter = PathConverter.class, description = "A JSON file with a list of VMs")
	private @Nullable Path vmFile;

	@Parameter(names = "--vm", splitter = WholeValueSplitter.class,
			description = "A VM as id,dataCenter,zone,class,role,service,address; may be repeated")
	private List<String> vms = new ArrayList<>();

	@Parameter(names = "--price", splitter = WholeValueSplitter.class,
			description = "A price as zone,class,reclaimable|on-demand,perHour; may be repeated")
	private List<String> prices = new ArrayList<>();

	@Parameter(names = "--list-lag", converter = DurationConverter.class, description = "The lag of the VM list")
	private Duration listLag = Duration.ofSeconds(2);

	@Parameter(names = "--retention", converter = DurationConverter.class, description = "How long records are kept")
	private Duration retention = Duration.ofDays(1);

	@Parameter(names = "--appends-per-second", description = "The appends the log takes a second")
	private double appendsPerSecond = 300;

	@Parameter(names = "--weight-loads-per-second", description = "The loads the weight store gives a second")
	private double weightLoadsPerSecond = 1;

	@Parameter(names = "--listener",
			description = "The name of a further listener that can be silenced; may be repeated")
	private List<String> listeners = new ArrayList<>();

	@Override
	public ExitCode run(PrintStream output) throws IOException, InterruptedException {
		List<VmDescription> listedVms = new ArrayList<>(this.vms.stream().map(VmDescription::parse).toList());
		if (this.vmFile != null) {
			listedVms.addAll(Arrays.asList(Json.MAPPER.readValue(this.vmFile.toFile(), VmDescription[].class)));
		}
		PlatformOptions options = PlatformOptions.defaults()
			.withAddress(this.address)
			.withVms(listedVms)
			.withListLagAndRetention(this.listLag, this.retention)
			.withRates(this.appendsPerSecond, this.weightLoadsPerSecond)
			.withPrices(this.prices.stream().map(Price::parse).toList())
			.withListeners(this.listeners);
		PlatformStandin platform = new PlatformStandin(options).start();
		this.listeners.forEach(
				(name) -> output.println("listener " + name + " " + StandinCommand.format(platform.address(name))));
		return StandinCommand.serve(platform, platform.address(), output);
	}

}
