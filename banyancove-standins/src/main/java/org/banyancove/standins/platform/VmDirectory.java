package org.banyancove.standins.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.banyancove.standins.support.LaggingView;

/**
 * The VMs of the platform, published as a delayed list and as reclaim notices. This class
 * is thread-safe.
 */
final class VmDirectory {

	private final Map<String, VmDescription> vms = new LinkedHashMap<>();

	private final List<Notice> notices = new ArrayList<>();

	private final LaggingView<List<VmDescription>> list;

	VmDirectory(PlatformOptions options) {
		options.vms().forEach((vm) -> this.vms.put(vm.id(), vm));
		this.list = new LaggingView<>(options.listLag(), options.clock(), List.copyOf(this.vms.values()));
	}

	synchronized void put(VmDescription vm) {
		this.vms.put(vm.id(), vm);
		this.list.set(List.copyOf(this.vms.values()));
	}

	synchronized void remove(String id) {
		this.vms.remove(id);
		this.list.set(List.copyOf(this.vms.values()));
	}

	synchronized boolean isLeaving(String id) {
		VmDescription vm = this.vms.get(id);
		return vm != null && vm.state() == VmState.LEAVING;
	}

	synchronized void announceReclaim(String id, Instant at) {
		VmDescription vm = this.vms.get(id);
		if (vm == null) {
			throw new IllegalArgumentException("Unknown VM '" + id + "'");
		}
		this.notices.add(new Notice(this.notices.size() + 1L, id, at.toString()));
		notifyAll();
		put(vm.leaving(at.toString()));
	}

	synchronized NoticeList noticesAfter(long sequence, Duration wait) throws InterruptedException {
		long deadline = System.nanoTime() + wait.toNanos();
		long remainingMillis = wait.toMillis();
		while (this.notices.size() <= sequence && remainingMillis > 0) {
			wait(remainingMillis);
			remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
		}
		int start = Math.toIntExact(Math.clamp(sequence, 0L, this.notices.size()));
		return new NoticeList(List.copyOf(this.notices.subList(start, this.notices.size())));
	}

	VmList list() {
		LaggingView.Stamped<List<VmDescription>> visible = this.list.get();
		return new VmList(visible.at().toString(), visible.value());
	}

	record Notice(long sequence, String vm, String reclaimAt) {
	}

	record NoticeList(List<Notice> notices) {
	}

	record VmList(String asOf, List<VmDescription> vms) {
	}

}
