package org.banyancove.standins.engine;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.banyancove.standins.support.ConnectionDropException;
import org.banyancove.standins.support.Exchange;
import org.banyancove.standins.support.FaultSwitches;
import org.banyancove.standins.support.Json;
import org.jspecify.annotations.Nullable;

/**
 * Writes a generation to a connection as a response of the chat API, unstreamed or as
 * events, and injects the enabled faults.
 */
final class AnswerWriter {

	private static final String FINISH_REASON = "length";

	private final Exchange exchange;

	private final Generation generation;

	private final boolean stall;

	private final boolean cut;

	private final boolean truncate;

	private final boolean repeat;

	private final boolean reorder;

	private final long afterTokens;

	private @Nullable Event delayedEvent;

	AnswerWriter(Exchange exchange, Generation generation, FaultSwitches<EngineFault> faults) {
		this.exchange = exchange;
		this.generation = generation;
		this.stall = faults.tryTrigger(EngineFault.STALL_STREAMS);
		this.cut = faults.tryTrigger(EngineFault.CUT_STREAMS);
		this.truncate = faults.tryTrigger(EngineFault.TRUNCATE_STREAMS);
		this.repeat = faults.tryTrigger(EngineFault.REPEAT_PIECES);
		this.reorder = faults.tryTrigger(EngineFault.REORDER_PIECES);
		this.afterTokens = faults.number(EngineFault.AFTER_TOKENS);
	}

	void writeUnstreamed() throws IOException, InterruptedException {
		int last = this.generation.endOffset() - 1;
		if (last >= this.generation.firstOffset() && !this.generation.await(last)) {
			this.exchange.sendError(409, "Cancelled");
			return;
		}
		injectFault();
		String text = this.generation.text().text(this.generation.firstOffset(), this.generation.endOffset());
		Choice choice = new Choice(0, null, new Content("assistant", text), FINISH_REASON);
		this.exchange.send(200, "application/json",
				Json.CHAT_MAPPER.writeValueAsBytes(answer("chat.completion", choice, this.generation.usage())));
	}

	void writeEvents(int from) throws IOException, InterruptedException {
		int offset = from;
		while (this.generation.await(offset)) {
			if (offset - from >= this.afterTokens && injectFault()) {
				this.exchange.endEvents();
				return;
			}
			Choice choice = new Choice(0, new Content(null, this.generation.text().piece(offset)), null, null);
			offset++;
			write(new Event(offset, Json.writeChat(answer("chat.completion.chunk", choice, null))));
		}
		flushDelayedEvent();
		if (!this.generation.isComplete()) {
			throw new ConnectionDropException("Cancelled");
		}
		if (injectFault()) {
			this.exchange.endEvents();
			return;
		}
		Choice last = new Choice(0, new Content(null, ""), null, FINISH_REASON);
		this.exchange.sendEvent(Integer.toString(offset),
				Json.writeChat(answer("chat.completion.chunk", last, this.generation.usage())));
		this.exchange.sendEvent(null, "[DONE]");
		this.exchange.endEvents();
	}

	private boolean injectFault() throws IOException {
		if (this.stall) {
			this.exchange.hangUntilStopped();
		}
		if (this.cut) {
			throw new ConnectionDropException("Fault CUT_STREAMS: connection closed within the stream");
		}
		return this.truncate;
	}

	private void write(Event event) throws IOException {
		if (this.reorder && this.delayedEvent == null) {
			this.delayedEvent = event;
			return;
		}
		send(event);
		flushDelayedEvent();
	}

	private void flushDelayedEvent() throws IOException {
		Event event = this.delayedEvent;
		this.delayedEvent = null;
		if (event != null) {
			send(event);
		}
	}

	private void send(Event event) throws IOException {
		this.exchange.sendEvent(Integer.toString(event.offset()), event.data());
		if (this.repeat) {
			this.exchange.sendEvent(Integer.toString(event.offset()), event.data());
		}
	}

	private Answer answer(String object, Choice choice, Generation.@Nullable Usage usage) {
		return new Answer(this.generation.requestId(), object, this.generation.request().model(), List.of(choice),
				usage);
	}

	private record Event(int offset, String data) {
	}

	private record Answer(String id, String object, String model, List<Choice> choices,
			Generation.@Nullable Usage usage) {
	}

	private record Choice(int index, @Nullable Content delta, @Nullable Content message,
			@JsonInclude(JsonInclude.Include.ALWAYS) @Nullable String finishReason) {
	}

	private record Content(@Nullable String role, String content) {
	}

}
