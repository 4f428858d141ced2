package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.rollout.Rollout;
import org.banyancove.gateway.rollout.RolloutOrder;
import org.banyancove.gateway.rollout.RolloutReport;
import org.banyancove.gateway.rollout.RolloutStage;
import org.banyancove.gateway.rollout.SampleKey;
import org.banyancove.gateway.rollout.VersionSamples;

/**
 * Writes and reads reports of rollouts in binary form.
 */
final class RolloutReportCodec {

	private static final byte IN_PROGRESS = 1;

	private static final byte COMPLETED = 2;

	private static final byte ROLLED_BACK = 3;

	private RolloutReportCodec() {
	}

	static void write(ByteBuf out, RolloutReport report) {
		BinaryFields.writeVarint(out, report.rollouts().size());
		report.rollouts().forEach((rollout) -> write(out, rollout));
		BinaryFields.writeVarint(out, report.samples().size());
		report.samples().forEach((key, count) -> {
			BinaryFields.writeVarint(out, key.order());
			BinaryFields.writeText(out, key.route());
			out.writeBoolean(key.candidate());
			BinaryFields.writeVarint(out, count.sent());
			BinaryFields.writeVarint(out, count.answered());
			BinaryFields.writeVarint(out, count.bad());
		});
	}

	private static void write(ByteBuf out, Rollout rollout) {
		RolloutOrder order = rollout.order();
		BinaryFields.writeText(out, order.service().value());
		BinaryFields.writeText(out, order.candidate());
		BinaryFields.writeVarint(out, order.duration().toMillis());
		BinaryFields.writeVarint(out, order.offset());
		BinaryFields.writeText(out, rollout.baseline());
		out.writeLong(rollout.orderedAt().toEpochMilli());
		out.writeLong(rollout.revision());
		switch (rollout.stage()) {
			case RolloutStage.InProgress stage -> {
				out.writeByte(IN_PROGRESS);
				out.writeDouble(stage.weight());
				out.writeDouble(stage.streamWeight());
			}
			case RolloutStage.Completed stage -> out.writeByte(COMPLETED);
			case RolloutStage.RolledBack stage -> out.writeByte(ROLLED_BACK);
		}
	}

	static RolloutReport read(ByteBuf in) {
		List<Rollout> rollouts = new ArrayList<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			rollouts.add(readRollout(in));
		}
		Map<SampleKey, VersionSamples> samples = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			long order = BinaryFields.readVarint(in);
			SampleKey key = new SampleKey(order, BinaryFields.readText(in), in.readBoolean());
			samples.put(key, new VersionSamples(BinaryFields.readVarint(in), BinaryFields.readVarint(in),
					BinaryFields.readVarint(in)));
		}
		return (rollouts.isEmpty() && samples.isEmpty()) ? RolloutReport.NONE : new RolloutReport(rollouts, samples);
	}

	private static Rollout readRollout(ByteBuf in) {
		ServiceName service = new ServiceName(BinaryFields.readText(in));
		String candidate = BinaryFields.readText(in);
		Duration duration = Duration.ofMillis(BinaryFields.readVarint(in));
		RolloutOrder order = new RolloutOrder(service, candidate, duration, BinaryFields.readVarint(in));
		String baseline = BinaryFields.readText(in);
		Instant orderedAt = Instant.ofEpochMilli(in.readLong());
		return new Rollout(order, baseline, orderedAt, in.readLong(), readStage(in));
	}

	private static RolloutStage readStage(ByteBuf in) {
		byte stage = in.readByte();
		return switch (stage) {
			case IN_PROGRESS -> new RolloutStage.InProgress(in.readDouble(), in.readDouble());
			case COMPLETED -> new RolloutStage.Completed();
			case ROLLED_BACK -> new RolloutStage.RolledBack();
			default -> throw new IllegalArgumentException("stage is unknown: " + stage);
		};
	}

}
