package org.banyancove.gateway.exchange;

import java.util.List;
import java.util.Set;

import org.banyancove.gateway.configuration.Service;
import org.banyancove.gateway.endpoint.Endpoint;
import org.banyancove.gateway.endpoint.Placement;
import org.banyancove.gateway.endpoint.Prompt;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoints that streams are moved to.
 */
final class MoveDestinations {

	private final RequestDispatcher dispatcher;

	private final Service service;

	private final Prompt prompt;

	/**
	 * Creates the choice for a request.
	 * @param dispatcher holds the endpoints
	 * @param service the service of the request
	 * @param prompt the prompt of the request
	 */
	MoveDestinations(RequestDispatcher dispatcher, Service service, Prompt prompt) {
		this.dispatcher = dispatcher;
		this.service = service;
		// The whole prompt is copied, so that cached parts of it make no difference.
		this.prompt = new Prompt(List.of(), prompt.inputTokens(), prompt.maximumOutputTokens());
	}

	/**
	 * Chooses the endpoint that a stream is moved to.
	 * @param source the attempt whose endpoint leaves
	 * @param now the current time
	 * @return an endpoint of the same version, or {@code null} if none is available
	 */
	@Nullable Endpoint choose(Attempt source, long now) {
		int maximum = this.dispatcher.connectionLimit(this.service).open();
		List<Endpoint> candidates = this.dispatcher.endpoints()
			.ofVersion(this.service.name(), source.version(), now)
			.stream()
			.filter((endpoint) -> endpoint.inFlight() < maximum)
			.toList();
		Placement placement = this.dispatcher.placement()
			.choose(candidates, this.prompt, Set.of(source.endpoint().id()), now);
		return (placement != null) ? placement.endpoint() : null;
	}

}
