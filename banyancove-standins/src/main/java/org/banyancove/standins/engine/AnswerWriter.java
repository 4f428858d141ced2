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
 * Writes one generation to one connection in the chat form, whole or as events, with the
 * faults that are switched on.
 */
final class AnswerWriter {

	private static final String FINISHED = "length";

	private final Exchange exchange;

	private final Generation generation;

	private final boolean stall;

	private final boolean cut;

	private final boolean truncate;

	private final boolean repeat;

	private final boolean reorder;

	private final long afterTokens;

	private @Nullable Event held;

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

	void writeWhole() throws IOException, InterruptedException {
		int last = this.generation.endOffset() - 1;
		if (last >= this.generation.firstOffset() && !this.generation.await(last)) {
			this.exchange.sendError(409, "Cancelled");
			return;
		}
		fault();
		String text = this.generation.text().text(this.generation.firstOffset(), this.generation.endOffset());
		Choice choice = new Choice(0, null, new Content("assistant", text), FINISHED);
		this.exchange.send(200, "application/json",
				Json.CHAT_MAPPER.writeValueAsBytes(answer("chat.completion", choice, this.generation.usage())));
	}

	void writeEvents(int from) throws IOException, InterruptedException {
		int offset = from;
		while (this.generation.await(offset)) {
			if (offset - from >= this.afterTokens && fault()) {
				this.exchange.endEvents();
				return;
			}
			Choice choice = new Choice(0, new Content(null, this.generation.text().piece(offset)), null, null);
			offset++;
			write(new Event(offset, Json.writeChat(answer("chat.completion.chunk", choice, null))));
		}
		flushHeld();
		if (!this.generation.isComplete()) {
			throw new ConnectionDropException("Cancelled");
		}
		if (fault()) {
			this.exchange.endEvents();
			return;
		}
		Choice last = new Choice(0, new Content(null, ""), null, FINISHED);
		this.exchange.sendEvent(Integer.toString(offset),
				Json.writeChat(answer("chat.completion.chunk", last, this.generation.usage())));
		this.exchange.sendEvent(null, "[DONE]");
		this.exchange.endEvents();
	}

	private boolean fault() throws IOException {
		if (this.stall) {
			this.exchange.hangUntilStopped();
		}
		if (this.cut) {
			throw new ConnectionDropException("Switched to cut the stream");
		}
		return this.truncate;
	}

	private void write(Event event) throws IOException {
		if (this.reorder && this.held == null) {
			this.held = event;
			return;
		}
		send(event);
		flushHeld();
	}

	private void flushHeld() throws IOException {
		Event event = this.held;
		this.held = null;
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
