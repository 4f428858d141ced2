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
 * Writes and reads relayed records in compressed form.
 * <p>
 * When all endpoints of a service change at once, a gateway sends their records to many
 * others. The records are similar to each other; uncompressed they would saturate the
 * link of a small VM for seconds and delay requests.
 */
final class RelayedRecordsCodec {

	/**
	 * Maximum decompressed size, more than any list of records that fits into a datagram.
	 */
	private static final int MAXIMUM_DECOMPRESSED_BYTES = 512 * 1024;

	private static final int INITIAL_BYTES = 4096;

	private RelayedRecordsCodec() {
	}

	static void write(ByteBuf out, RelayedRecords relayed) {
		ByteBuf uncompressed = Unpooled.buffer(INITIAL_BYTES);
		BinaryFields.writeText(uncompressed, relayed.topic().name());
		Long millisSinceFailure = relayed.millisSinceFailure();
		uncompressed.writeBoolean(millisSinceFailure != null);
		BinaryFields.writeVarint(uncompressed, (millisSinceFailure != null) ? millisSinceFailure : 0);
		BinaryFields.writeVarint(uncompressed, relayed.records().size());
		for (TopicRecord entry : relayed.records()) {
			BinaryFields.writeVarint(uncompressed, entry.offset());
			BinaryFields.writeText(uncompressed, entry.key());
			byte[] value = entry.value();
			uncompressed.writeBoolean(value != null);
			BinaryFields.writeBytes(uncompressed, (value != null) ? value : new byte[0]);
		}
		out.writeBytes(compress(ByteBufUtil.getBytes(uncompressed)));
	}

	private static byte[] compress(byte[] uncompressed) {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try (DeflaterOutputStream out = new DeflaterOutputStream(compressed, deflater)) {
			out.write(uncompressed);
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
		ByteBuf uncompressed = Unpooled.wrappedBuffer(decompress(in));
		Topic topic = Topic.valueOf(BinaryFields.readText(uncompressed));
		boolean hasFailure = uncompressed.readBoolean();
		long millisSinceFailure = BinaryFields.readVarint(uncompressed);
		List<TopicRecord> records = new ArrayList<>();
		for (int remaining = BinaryFields.readCount(uncompressed); remaining > 0; remaining--) {
			long offset = BinaryFields.readVarint(uncompressed);
			String key = BinaryFields.readText(uncompressed);
			boolean present = uncompressed.readBoolean();
			byte[] value = BinaryFields.readBytes(uncompressed);
			records.add(new TopicRecord(offset, key, present ? value : null));
		}
		return new RelayedRecords(topic, records, hasFailure ? millisSinceFailure : null);
	}

	private static byte[] decompress(ByteBuf in) {
		try (InflaterInputStream inflater = new InflaterInputStream(new ByteBufInputStream(in))) {
			byte[] uncompressed = inflater.readNBytes(MAXIMUM_DECOMPRESSED_BYTES + 1);
			if (uncompressed.length > MAXIMUM_DECOMPRESSED_BYTES) {
				throw new IllegalArgumentException(
						"records must have at most " + MAXIMUM_DECOMPRESSED_BYTES + " bytes");
			}
			return uncompressed;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("records cannot be decompressed: " + ex.getMessage(), ex);
		}
	}

}
