package org.banyancove.standins.service;

import java.io.IOException;
import java.time.Duration;

import org.banyancove.standins.support.AbstractStandin;
import org.banyancove.standins.support.ConnectionDropException;
import org.banyancove.standins.support.Exchange;

/**
 * A plain service that counts its runs by idempotency key and body. It runs duplicate
 * calls too, so that its counts show whether the system repeats a call.
 */
public final class ServiceStandin extends AbstractStandin<ServiceFault> {

	private final ServiceOptions options;

	/**
	 * Creates the service and binds its address.
	 * @param options the options
	 */
	public ServiceStandin(ServiceOptions options) {
		super(options.address(), ServiceFault.class);
		this.options = options;
	}

	@Override
	public ServiceStandin start() {
		super.start();
		return this;
	}

	@Override
	protected void serve(Exchange exchange) throws IOException, InterruptedException {
		if (exchange.route().equals("GET /health")) {
			exchange.send(200, new Health("up"));
			return;
		}
		int status = Math.toIntExact(faults().number(ServiceFault.ERROR_STATUS));
		if (status > 0) {
			exchange.sendError(status, "Switched to fail");
			return;
		}
		if (faults().tryTrigger(ServiceFault.HANG)) {
			exchange.hangUntilStopped();
		}
		if (faults().tryTrigger(ServiceFault.CLOSE)) {
			throw new ConnectionDropException("Fault CLOSE: connection closed before the call runs");
		}
		Thread.sleep(this.options.latency().plus(Duration.ofMillis(faults().number(ServiceFault.SLOW_MILLIS))));
		int count = runs().count(exchange.header("Idempotency-Key", ""), exchange.body());
		if (faults().tryTrigger(ServiceFault.RUN_AND_HANG)) {
			exchange.hangUntilStopped();
		}
		if (faults().tryTrigger(ServiceFault.RUN_AND_CLOSE)) {
			throw new ConnectionDropException("Fault RUN_AND_CLOSE: connection closed after the call has run");
		}
		exchange.send(200, new Answer(this.options.service(), this.options.id(), exchange.path(), count));
	}

	private record Answer(String service, String endpoint, String path, int runs) {
	}

	private record Health(String status) {
	}

}
