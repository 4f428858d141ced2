package org.banyancove.standins;

import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.banyancove.program.ExitCode;
import org.banyancove.standins.service.ServiceOptions;
import org.banyancove.standins.service.ServiceStandin;

/**
 * Runs the stand-in of a plain service.
 */
@Parameters(commandDescription = "A plain service that counts its runs")
final class ServiceCommand implements StandinCommand {

	@Parameter(names = "--address", converter = AddressConverter.class, description = "The address to listen on")
	private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

	@Parameter(names = "--id", description = "The endpoint's identifier")
	private String id = "service-1";

	@Parameter(names = "--service", description = "The service's name")
	private String service = "orders";

	@Parameter(names = "--latency", converter = DurationConverter.class, description = "The time each call takes")
	private Duration latency = Duration.ofMillis(20);

	@Override
	public ExitCode run(PrintStream output) throws InterruptedException {
		ServiceStandin standin = new ServiceStandin(ServiceOptions.defaults()
			.withAddress(this.address)
			.withNames(this.id, this.service)
			.withLatency(this.latency)).start();
		return StandinCommand.serve(standin, standin.address(), output);
	}

}
