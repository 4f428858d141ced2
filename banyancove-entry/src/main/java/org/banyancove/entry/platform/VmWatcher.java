package org.banyancove.entry.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.EndpointRegion;
import org.banyancove.entry.EventSink;
import org.banyancove.platform.ListedVm;
import org.banyancove.platform.NoticeClient;
import org.banyancove.platform.ReclaimNotice;
import org.banyancove.platform.VmList;
import org.banyancove.platform.VmListClient;
import org.banyancove.platform.VmRole;
import org.banyancove.platform.VmState;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the platform's list of VMs, which lags behind their actual state, and its reclaim
 * notices.
 */
public final class VmWatcher {

	private static final Logger logger = LoggerFactory.getLogger(VmWatcher.class);

	private static final Duration NOTICE_RETRY_DELAY = Duration.ofMillis(500);

	private final VmListClient list;

	private final NoticeClient notices;

	private final PriceTable prices;

	private final Duration noticeWait;

	private final ScheduledExecutorService timer;

	private final EventSink events;

	private final Consumer<Map<EndpointId, String>> engineAddresses;

	private final EndpointRegion region;

	private final PeerSeeds seeds;

	private long lastNoticeSequence = -1;

	/**
	 * Creates the watcher.
	 * @param list the list of VMs
	 * @param notices the reclaim notices
	 * @param prices the prices of VMs
	 * @param noticeWait the maximum time that a read of notices waits at the platform
	 * @param timer schedules the reads
	 * @param events the tick loop
	 * @param engineAddresses receives the addresses of the listed engines of the region
	 * @param region the region
	 * @param seeds the addresses of other entries
	 */
	public VmWatcher(VmListClient list, NoticeClient notices, PriceTable prices, Duration noticeWait,
			ScheduledExecutorService timer, EventSink events, Consumer<Map<EndpointId, String>> engineAddresses,
			EndpointRegion region, PeerSeeds seeds) {
		this.list = list;
		this.notices = notices;
		this.prices = prices;
		this.noticeWait = noticeWait;
		this.timer = timer;
		this.events = events;
		this.engineAddresses = engineAddresses;
		this.region = region;
		this.seeds = seeds;
	}

	/**
	 * Starts to poll.
	 * @param interval the time between reads of the list
	 */
	public void start(Duration interval) {
		this.timer.scheduleWithFixedDelay(this::readList, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
		readNotices();
	}

	private void readList() {
		this.list.read().whenComplete((vms, failure) -> {
			if (failure != null) {
				logger.debug("Failed to read the list of VMs", failure);
				return;
			}
			this.events.post(toEvent(vms));
			this.engineAddresses.accept(engineAddressesIn(vms));
		});
	}

	private void readNotices() {
		this.notices.read(this.lastNoticeSequence, this.noticeWait).whenComplete((read, failure) -> {
			if (this.timer.isShutdown()) {
				return;
			}
			if (failure != null) {
				this.timer.schedule(this::readNotices, NOTICE_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
				return;
			}
			read.forEach(this::postNotice);
			readNotices();
		});
	}

	private void postNotice(ReclaimNotice notice) {
		this.lastNoticeSequence = Math.max(this.lastNoticeSequence, notice.sequence());
		this.events
			.post(new EntryEvent.ReclaimAnnounced(new EntryEvent.ReclaimNotice(notice.vm(), notice.reclaimAt())));
	}

	private EntryEvent.VmsListed toEvent(VmList vms) {
		List<EndpointDefinition> live = new ArrayList<>();
		List<EntryEvent.ReclaimNotice> leaving = new ArrayList<>();
		for (ListedVm vm : vms.vms()) {
			if (vm.state() == VmState.LEAVING) {
				Instant reclaimAt = vm.reclaimAt();
				leaving.add(new EntryEvent.ReclaimNotice(vm.id(), (reclaimAt != null) ? reclaimAt : vms.asOf()));
			}
			EndpointDefinition endpoint = toEndpoint(vm);
			if (endpoint != null) {
				live.add(endpoint);
			}
		}
		return new EntryEvent.VmsListed(vms.asOf(), live, leaving, this.seeds.entries(vms));
	}

	private Map<EndpointId, String> engineAddressesIn(VmList vms) {
		Map<EndpointId, String> addresses = new HashMap<>();
		for (ListedVm vm : vms.vms()) {
			String address = vm.address();
			if (vm.role() == VmRole.ENGINE && address != null && this.region.contains(vm.dataCenter())) {
				addresses.put(new EndpointId(vm.id().value()), address);
			}
		}
		return addresses;
	}

	private @Nullable EndpointDefinition toEndpoint(ListedVm vm) {
		ServiceName service = vm.service();
		String address = vm.address();
		if (service == null || address == null) {
			return null;
		}
		return new EndpointDefinition(new EndpointId(vm.id().value()), vm.id(), vm.dataCenter(), vm.zone(),
				vm.machineClass(), service, address, this.prices.perHour(vm.zone(), vm.machineClass()));
	}

}
