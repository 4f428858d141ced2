package org.banyancove.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyancove.core.entry.EntryCore;
import org.banyancove.core.entry.EntryCounters;
import org.banyancove.core.entry.EntryIdentity;
import org.banyancove.core.routing.Endpoint;

/**
 * The JSON document with the state of an entry for operators.
 */
final class StatusDocument {

	private final ObjectMapper mapper = new ObjectMapper();

	private final EntryIdentity identity;

	private final EntryCore core;

	StatusDocument(EntryIdentity identity, EntryCore core) {
		this.identity = identity;
		this.core = core;
	}

	String text() throws JsonProcessingException {
		ObjectNode root = this.mapper.createObjectNode();
		root.put("entry", this.identity.incarnation().toString());
		root.put("dataCenter", this.identity.dataCenter().value());
		root.put("zone", this.identity.zone().value());
		root.put("ready", this.core.isReady());
		root.put("running", this.core.runningRequests());
		counters(root.putObject("counters"));
		ArrayNode endpoints = root.putArray("endpoints");
		this.core.endpoints().all().forEach((endpoint) -> endpoint(endpoints.addObject(), endpoint));
		return this.mapper.writerWithDefaultPrettyPrinter().writeValueAsString(root);
	}

	private void counters(ObjectNode node) {
		EntryCounters counters = this.core.counters();
		node.put("arrived", counters.receivedRequests());
		node.put("answered", counters.answeredRequests());
		node.put("attempts", counters.attempts());
		node.put("retries", counters.retries());
		node.put("movedStreams", this.core.streamCounters().continuations());
		node.put("recomputedTokens", counters.recomputedTokens());
		node.put("invariantViolations", this.core.invariantViolations());
		ObjectNode failures = node.putObject("failures");
		counters.failures().forEach((kind, count) -> failures.put(kind.code(), count));
	}

	private static void endpoint(ObjectNode node, Endpoint endpoint) {
		node.put("id", endpoint.id().value());
		node.put("service", endpoint.definition().service().value());
		node.put("dataCenter", endpoint.dataCenter().value());
		node.put("state", endpoint.state().name());
		node.put("inFlight", endpoint.inFlight());
		node.put("pricePerHour", endpoint.definition().pricePerHour());
	}

}
