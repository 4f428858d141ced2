package org.banyancove.entry;

import java.util.function.Consumer;

import org.banyancove.core.entry.AttemptResult;
import org.banyancove.core.entry.EntryCommand;
import org.banyancove.core.entry.EntryEvent;
import org.banyancove.entry.caller.CallerConnections;
import org.banyancove.entry.endpoint.Attempt;
import org.banyancove.entry.endpoint.EndpointClient;
import org.banyancove.entry.platform.LogAdapter;
import org.banyancove.transport.PeerTransport;

/**
 * Dispatches the core's commands to the adapters, none of which blocks.
 */
final class CommandExecutor implements Consumer<EntryCommand> {

	private final CallerConnections callers;

	private final EndpointClient endpoints;

	private final LogAdapter log;

	private final PeerTransport peers;

	private final EventSink events;

	private final SampleRecorder samples;

	CommandExecutor(CallerConnections callers, EndpointClient endpoints, LogAdapter log, PeerTransport peers,
			EventSink events, SampleRecorder samples) {
		this.callers = callers;
		this.endpoints = endpoints;
		this.log = log;
		this.peers = peers;
		this.events = events;
		this.samples = samples;
	}

	@Override
	public void accept(EntryCommand command) {
		switch (command) {
			case EntryCommand.Deliver deliver -> this.callers.deliver(deliver.subscriber(), deliver.part());
			case EntryCommand.StartAttempt start -> this.endpoints.start(
					new Attempt(start.request(), start.attempt(), start.endpoint(), start.address(), start.content()));
			case EntryCommand.FailAttempt fail -> this.events.post(new EntryEvent.AttemptEnded(fail.request(),
					fail.attempt(), new AttemptResult.NeverSent("the endpoint is gone")));
			case EntryCommand.MoveCache move -> this.endpoints.moveCache(move);
			case EntryCommand.SendToPeer send -> this.peers.send(send.address(), send.message());
			case EntryCommand.CancelAttempt cancel -> this.endpoints.cancel(cancel.request(), cancel.attempt());
			case EntryCommand.CancelStream cancel -> this.endpoints.cancelStream(cancel.request(), cancel.address());
			case EntryCommand.RecordSample sample -> this.samples.add(sample.sample());
			case EntryCommand.ReadProfiles read -> this.log.readProfiles(read.fromOffset());
			case EntryCommand.StopReadingProfiles _ -> this.log.stopReadingProfiles();
			case EntryCommand.AppendCheckpoint append -> this.log.append(append.checkpoint());
			case EntryCommand.AppendToLog append -> this.log.append(append.slot(), append.append(), append.records());
		}
	}

}
