package org.banyancove.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.jspecify.annotations.Nullable;

/**
 * A client of the platform's list of VMs, which lags behind their actual state.
 * Thread-safe.
 */
public final class VmListClient {

	private final PlatformConnection connection;

	/**
	 * Creates a client.
	 * @param connection the connection to the platform
	 */
	public VmListClient(PlatformConnection connection) {
		this.connection = connection;
	}

	/**
	 * Reads the list.
	 * @return the list; completes exceptionally with a
	 * {@link org.banyancove.core.error.BanyancoveException} of kind
	 * {@code PLATFORM_UNREACHABLE} if there is no response
	 */
	public CompletableFuture<VmList> read() {
		return this.connection.send("/vms", "GET", null, Duration.ZERO)
			.thenApply((response) -> PlatformResponses.read(response, ListDocument.class).list())
			.exceptionallyCompose((failure) -> CompletableFuture.failedFuture(PlatformResponses.unreachable(failure)));
	}

	/**
	 * Returns the enum constant for a lower-case name of the platform.
	 * @param <E> the enum type
	 * @param type the enum type
	 * @param name the name
	 * @param defaultConstant the constant for a name that this version does not support
	 * @return the constant
	 */
	static <E extends Enum<E>> E parseConstant(Class<E> type, @Nullable String name, E defaultConstant) {
		for (E constant : type.getEnumConstants()) {
			if (constant.name().toLowerCase(Locale.ROOT).equals(name)) {
				return constant;
			}
		}
		return defaultConstant;
	}

	private record ListDocument(String asOf, List<VmDocument> vms) {

		VmList list() {
			return new VmList(Instant.parse(this.asOf), this.vms.stream().map(VmDocument::vm).toList());
		}

	}

	private record VmDocument(String id, String dataCenter, String zone, String machineClass, @Nullable String role,
			@Nullable String service, @Nullable String address, @Nullable String state, @Nullable String reclaimAt) {

		ListedVm vm() {
			return new ListedVm(new VmId(this.id), new DataCenterName(this.dataCenter), new ZoneName(this.zone),
					new MachineClass(this.machineClass), parseConstant(VmRole.class, this.role, VmRole.UNKNOWN),
					(this.service != null) ? new ServiceName(this.service) : null, this.address,
					parseConstant(VmState.class, this.state, VmState.UNKNOWN),
					(this.reclaimAt != null) ? Instant.parse(this.reclaimAt) : null);
		}

	}

}
