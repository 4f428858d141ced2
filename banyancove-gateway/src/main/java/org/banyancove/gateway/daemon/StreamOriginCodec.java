package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import org.banyancove.core.EndpointId;
import org.banyancove.core.ServiceName;
import org.banyancove.gateway.resumption.KnownOrigin;
import org.banyancove.gateway.resumption.StreamKey;
import org.banyancove.gateway.resumption.StreamOrigin;

/**
 * Writes and reads the messages about the origins of streams in binary form.
 */
final class StreamOriginCodec {

	private StreamOriginCodec() {
	}

	static void write(ByteBuf out, StreamOriginMessage message) {
		switch (message) {
			case StreamOriginMessage.Replication replication -> {
				BinaryFields.writeVarint(out, replication.origins().size());
				replication.origins().forEach((stream, origin) -> {
					write(out, stream);
					write(out, origin);
				});
			}
			case StreamOriginMessage.Query query -> {
				out.writeLong(query.number());
				write(out, query.stream());
				BinaryFields.writeText(out, query.host());
				BinaryFields.writeText(out, query.pathPrefix());
			}
			case StreamOriginMessage.Reply reply -> {
				out.writeLong(reply.number());
				KnownOrigin origin = reply.origin();
				out.writeBoolean(origin != null);
				if (origin != null) {
					out.writeBoolean(origin.source() == KnownOrigin.Source.ONLY_VERSION);
					write(out, origin);
				}
			}
		}
	}

	private static void write(ByteBuf out, StreamKey stream) {
		out.writeLong(stream.high());
		out.writeLong(stream.low());
	}

	private static void write(ByteBuf out, KnownOrigin known) {
		BinaryFields.writeText(out, known.origin().service().value());
		BinaryFields.writeText(out, known.origin().version());
		EndpointId endpoint = known.origin().endpoint();
		BinaryFields.writeText(out, (endpoint != null) ? endpoint.value() : "");
		BinaryFields.writeVarint(out, known.age().toMillis());
	}

	static StreamOriginMessage.Replication readReplication(ByteBuf in) {
		Map<StreamKey, KnownOrigin> origins = new HashMap<>();
		for (int remaining = BinaryFields.readCount(in); remaining > 0; remaining--) {
			origins.put(readStream(in), readOrigin(in, KnownOrigin.Source.RECORD));
		}
		return new StreamOriginMessage.Replication(origins);
	}

	static StreamOriginMessage.Query readQuery(ByteBuf in) {
		return new StreamOriginMessage.Query(in.readLong(), readStream(in), BinaryFields.readText(in),
				BinaryFields.readText(in));
	}

	static StreamOriginMessage.Reply readReply(ByteBuf in) {
		long number = in.readLong();
		if (!in.readBoolean()) {
			return new StreamOriginMessage.Reply(number, null);
		}
		KnownOrigin.Source source = in.readBoolean() ? KnownOrigin.Source.ONLY_VERSION : KnownOrigin.Source.PEER;
		return new StreamOriginMessage.Reply(number, readOrigin(in, source));
	}

	private static StreamKey readStream(ByteBuf in) {
		return new StreamKey(in.readLong(), in.readLong());
	}

	private static KnownOrigin readOrigin(ByteBuf in, KnownOrigin.Source source) {
		ServiceName service = new ServiceName(BinaryFields.readText(in));
		String version = BinaryFields.readText(in);
		String endpoint = BinaryFields.readText(in);
		StreamOrigin origin = new StreamOrigin(service, version, endpoint.isEmpty() ? null : new EndpointId(endpoint));
		return new KnownOrigin(origin, source, Duration.ofMillis(BinaryFields.readVarint(in)));
	}

}
