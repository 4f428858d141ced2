package org.banyancove.platform;

import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.MachineClass;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * A client of the platform's cloud API, which starts and stops VMs. Thread-safe.
 */
public final class CloudClient {

	private static final String VMS = "/cloud/vms";

	private static final int NOT_FOUND = 404;

	private final PlatformConnection connection;

	/**
	 * Creates a client.
	 * @param connection the connection to the platform
	 */
	public CloudClient(PlatformConnection connection) {
		this.connection = connection;
	}

	/**
	 * Starts a VM.
	 * @param request the VM's properties and client token
	 * @return the known outcome; never completes exceptionally
	 */
	public CompletableFuture<StartResult> start(StartRequest request) {
		String body = PlatformResponses.write(new StartDocument(request));
		return this.connection.send(VMS, "POST", body, Duration.ZERO).handle(CloudClient::result);
	}

	/**
	 * Stops a VM. Stopping a VM that no longer exists succeeds.
	 * @param vm the VM
	 * @return completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<Void> stop(VmId vm) {
		return this.connection.send(VMS + "/" + encode(vm.value()), "DELETE", null, Duration.ZERO)
			.thenAccept((response) -> {
				if (response.statusCode() != NOT_FOUND) {
					PlatformResponses.expectSuccess(response);
				}
			})
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	/**
	 * Lists the VMs whose client tokens have a prefix. The list is up to date.
	 * @param tokenPrefix the prefix of client tokens
	 * @return the VMs; completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<List<CloudVm>> list(String tokenPrefix) {
		return this.connection.send(VMS + "?tokenPrefix=" + encode(tokenPrefix), "GET", null, Duration.ZERO)
			.thenApply((response) -> PlatformResponses.read(response, VmsDocument.class).read())
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	/**
	 * Reads the prices of all zones and machine classes.
	 * @return the prices; completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<List<VmPrice>> prices() {
		return this.connection.send("/cloud/prices", "GET", null, Duration.ZERO)
			.thenApply((response) -> PlatformResponses.read(response, PricesDocument.class).read())
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	private static StartResult result(@Nullable HttpResponse<String> response, @Nullable Throwable failure) {
		if (response == null) {
			return new StartResult.Unanswered(String.valueOf(failure));
		}
		if (PlatformResponses.isRejected(response) || PlatformResponses.isClientError(response)) {
			return new StartResult.Refused(PlatformResponses.retryAfter(response),
					PlatformResponses.describe(response));
		}
		try {
			return new StartResult.Started(new VmId(PlatformResponses.read(response, StartedDocument.class).id()));
		}
		catch (RuntimeException ex) {
			return new StartResult.Unanswered(ex.toString());
		}
	}

	private record StartDocument(String clientToken, String dataCenter, String zone, String machineClass,
			boolean reclaimable, String service) {

		StartDocument(StartRequest request) {
			this(request.clientToken(), request.dataCenter().value(), request.zone().value(),
					request.machineClass().value(), request.reclaimable(), request.service().value());
		}

	}

	private record StartedDocument(String id) {

	}

	private record VmsDocument(List<VmDocument> vms) {

		List<CloudVm> read() {
			return this.vms.stream().map(VmDocument::vm).toList();
		}

	}

	private record VmDocument(String id, String clientToken, String zone, String machineClass, boolean reclaimable,
			@Nullable String state, String startedAt) {

		CloudVm vm() {
			return new CloudVm(new VmId(this.id), this.clientToken, new ZoneName(this.zone),
					new MachineClass(this.machineClass), this.reclaimable,
					VmListClient.parseConstant(VmState.class, this.state, VmState.UNKNOWN),
					Instant.parse(this.startedAt));
		}

	}

	private record PricesDocument(List<PriceDocument> prices) {

		List<VmPrice> read() {
			return this.prices.stream().map(PriceDocument::price).toList();
		}

	}

	private record PriceDocument(String zone, String machineClass, boolean reclaimable, double perHour) {

		VmPrice price() {
			return new VmPrice(new ZoneName(this.zone), new MachineClass(this.machineClass), this.reclaimable,
					this.perHour);
		}

	}

}
