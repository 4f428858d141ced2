package org.banyancove.gateway.daemon;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.banyancove.gateway.shared.Topic;
import org.banyancove.gateway.shared.TopicRecord;

/**
 * Writes and reads records that are passed on, compressed.
 * <p>
 * When all endpoints of a service change at once, a gateway sends their records to many
 * others. The records are alike; uncompressed they would fill a small VM's link for
 * seconds, and requests would wait behind them.
 */
final class RelayedRecordsCodec {

	/** More than any list of records holds that fits into a datagram. */
	private static final int MAXIMUM_BYTES = 512 * 1024;

	private static final int INITIAL_BYTES = 4096;

	private RelayedRecordsCodec() {
	}

	static void write(ByteBuf out, RelayedRecords relayed) {
		ByteBuf plain = Unpooled.buffer(INITIAL_BYTES);
		BinaryFields.writeText(plain, relayed.topic().name());
		Long outage = relayed.outageMillis();
		plain.writeBoolean(outage != null);
		BinaryFields.writeNumber(plain, (outage != null) ? outage : 0);
		BinaryFields.writeNumber(plain, relayed.records().size());
		for (TopicRecord entry : relayed.records()) {
			BinaryFields.writeNumber(plain, entry.offset());
			BinaryFields.writeText(plain, entry.key());
			byte[] value = entry.value();
			plain.writeBoolean(value != null);
			BinaryFields.writeBytes(plain, (value != null) ? value : new byte[0]);
		}
		out.writeBytes(compress(ByteBufUtil.getBytes(plain)));
	}

	private static byte[] compress(byte[] plain) {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
			out.write(plain);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			deflater.end();
		}
		return compressed.toByteArray();
	}

	static RelayedRecords read(ByteBuf in) {
		ByteBuf plain = Unpooled.wrappedBuffer(decompress(in));
		Topic topic = Topic.valueOf(BinaryFields.readText(plain));
		boolean failed = plain.readBoolean();
		long outage = BinaryFields.readNumber(plain);
		List<TopicRecord> records = new ArrayList<>();
		for (int left = BinaryFields.readCount(plain); left > 0; left--) {
			long offset = BinaryFields.readNumber(plain);
			String key = BinaryFields.readText(plain);
			boolean present = plain.readBoolean();
			byte[] value = BinaryFields.readBytes(plain);
			records.add(new TopicRecord(offset, key, present ? value : null));
		}
		return new RelayedRecords(topic, records, failed ? outage : null);
	}

	private static byte[] decompress(ByteBuf in) {
		try (InflaterInputStream inflater = new InflaterInputStream(new ByteBufInputStream(in))) {
			byte[] plain = inflater.readNBytes(MAXIMUM_BYTES + 1);
			if (plain.length > MAXIMUM_BYTES) {
				throw new IllegalArgumentException("records must have at most " + MAXIMUM_BYTES + " bytes");
			}
			return plain;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("records cannot be decompressed: " + ex.getMessage(), ex);
		}
	}

}
