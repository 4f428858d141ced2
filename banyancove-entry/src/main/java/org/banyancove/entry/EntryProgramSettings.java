package org.banyancove.entry;

import java.net.URI;
import java.time.Duration;
import java.util.List;

import org.banyancove.core.AccountName;
import org.banyancove.core.DataCenterName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.routing.PlacementSettings;
import org.banyancove.program.SettingsKey;
import org.jspecify.annotations.Nullable;

/**
 * The settings file of an entry.
 *
 * @param process the identity and location of this process
 * @param callers the settings of the server for callers
 * @param accounts the callers' accounts
 * @param peers the settings of the connections to other entries
 * @param platform the settings of the platform's clients
 * @param endpoints the settings of the connections to endpoints
 * @param ledger the settings of the key ledger
 * @param files the files written in addition to the logs
 */
public record EntryProgramSettings(Identity process, Callers callers,
		@SettingsKey(meaning = "the callers' accounts") List<Account> accounts, Peers peers, Platform platform,
		Endpoints endpoints, Ledger ledger, Files files) {

	/**
	 * The identity and location of this process.
	 *
	 * @param vm the VM's identifier
	 * @param dataCenter the data center
	 * @param zone the zone
	 */
	public record Identity(@SettingsKey(meaning = "the platform's identifier of this VM") VmId vm,
			@SettingsKey(meaning = "the data center of this VM") DataCenterName dataCenter,
			@SettingsKey(meaning = "the zone of this VM") ZoneName zone) {

	}

	/**
	 * The settings of the server for callers.
	 *
	 * @param address the address to listen on
	 * @param maximumBodyBytes the maximum size of a request body in bytes
	 * @param keepAnswers the retention time of a finished answer
	 * @param keepAnswerBytes the maximum size of retained answers in bytes
	 * @param maximumRequests the maximum number of concurrent requests
	 * @param handOverAfter the time after which a graceful stop hands requests over to
	 * other entries
	 * @param stopPatience the maximum time for which a graceful stop keeps the
	 * connections of callers open
	 */
	public record Callers(
			@SettingsKey(meaning = "the address and port to listen on, port 0 for a free one",
					defaultValue = "127.0.0.1:0") String address,
			@SettingsKey(meaning = "the largest body read; a profile may allow less", unit = "bytes",
					defaultValue = "4194304") int maximumBodyBytes,
			@SettingsKey(meaning = "how long an ended answer is kept for its caller to come back",
					defaultValue = "15m") Duration keepAnswers,
			@SettingsKey(meaning = "how much of ended answers is kept at the most", unit = "bytes",
					defaultValue = "67108864") long keepAnswerBytes,
			@SettingsKey(meaning = "how many requests may run at once", defaultValue = "20000") int maximumRequests,
			@SettingsKey(
					meaning = "how long a planned stop lets work end here before other entries go on with it; "
							+ "less than what the VM's manager waits before it kills",
					defaultValue = "12s") Duration handOverAfter,
			@SettingsKey(
					meaning = "how long a planned stop keeps the connections of callers whose answers are not whole; "
							+ "the longest deadline of the profiles cuts none",
					defaultValue = "60m") Duration stopPatience) {

	}

	/**
	 * A caller's account.
	 *
	 * @param name the account's name
	 * @param credential the bearer credential
	 */
	public record Account(@SettingsKey(meaning = "the account's name") AccountName name,
			@SettingsKey(meaning = "the bearer credential that callers of the account send") String credential) {

	}

	/**
	 * The settings of the connections to other entries.
	 *
	 * @param address the address to listen on
	 * @param seeds the initial addresses of other entries
	 * @param nearby the other data centers whose entries may hold requests
	 */
	public record Peers(
			@SettingsKey(meaning = "the address and port to listen on for other entries, port 0 for a free one",
					defaultValue = "127.0.0.1:0") String address,
			@SettingsKey(meaning = "the addresses of other entries to begin with",
					defaultValue = "[]") List<String> seeds,
			@SettingsKey(meaning = "the other data centers whose entries may hold this one's requests",
					defaultValue = "[]") List<DataCenterName> nearby) {

	}

	/**
	 * The settings of the platform's clients.
	 *
	 * @param address the platform's address
	 * @param timeout the timeout of one response
	 * @param listInterval the time between reads of the list of VMs
	 * @param readWait the maximum time that a read waits at the platform for new data
	 * @param profileReaders the number of entries of each data center that read the
	 * profiles from the log; 0 for all
	 */
	public record Platform(@SettingsKey(meaning = "the platform's address") URI address,
			@SettingsKey(meaning = "the time for one answer of the platform", defaultValue = "2s") Duration timeout,
			@SettingsKey(meaning = "the time between reads of the list of VMs",
					defaultValue = "1s") Duration listInterval,
			@SettingsKey(meaning = "how long a read of the log or of notices waits at the platform for something new",
					defaultValue = "5s") Duration readWait,
			@SettingsKey(
					meaning = "how many entries of each data center read the profiles from the log and tell the others, 0 for all",
					defaultValue = "2") int profileReaders) {

	}

	/**
	 * The settings of the connections to endpoints.
	 *
	 * @param connectTimeout the timeout for connecting to an endpoint
	 * @param answerTimeout the timeout for the start of an endpoint's response
	 * @param loadInterval the time between reads of an engine's load report
	 * @param region the other data centers of the region
	 * @param promptWeight the factor by which placement weights the time of prompt
	 * computation
	 */
	public record Endpoints(
			@SettingsKey(meaning = "the time to reach an endpoint", defaultValue = "1s") Duration connectTimeout,
			@SettingsKey(meaning = "the time until an endpoint's answer begins",
					defaultValue = "30s") Duration answerTimeout,
			@SettingsKey(meaning = "the time between reads of an engine's load and cache events",
					defaultValue = "500ms") Duration loadInterval,
			@SettingsKey(
					meaning = "the other data centers of this one's region, whose endpoints are kept in full; of "
							+ "a service that the region has none of, a few elsewhere; empty if all are one region",
					defaultValue = "[]") List<DataCenterName> region,
			@SettingsKey(
					meaning = "how much dearer than its time the computing of a prompt counts; more saves recomputed "
							+ "tokens and costs somewhat more at low load",
					unit = "from 1 to 100", defaultValue = "1.0") double promptWeight) {

		/**
		 * Creates the settings.
		 * @throws IllegalArgumentException if a value is out of its range
		 */
		public Endpoints {
			placement(promptWeight);
		}

		PlacementSettings placement() {
			return placement(this.promptWeight);
		}

		private static PlacementSettings placement(double promptWeight) {
			return new PlacementSettings(PlacementSettings.DEFAULT.margin(), promptWeight);
		}

	}

	/**
	 * The settings of the key ledger.
	 *
	 * @param slots the number of key slots
	 * @param batchWindow the time for which intents are batched into one append
	 * @param keyWindow the retention time of a key
	 * @param answerWindow the retention time of the answer of a key
	 * @param retention the retention time of the log's records
	 */
	public record Ledger(
			@SettingsKey(
					meaning = "the number of key slots, a stream of the log each; the same at every entry of a log",
					defaultValue = "1") int slots,
			@SettingsKey(meaning = "how long intents are gathered for one append",
					defaultValue = "20ms") Duration batchWindow,
			@SettingsKey(meaning = "how long a key is remembered", defaultValue = "24h") Duration keyWindow,
			@SettingsKey(
					meaning = "how long after its call a key's answer is kept for repeats; later ones learn its status",
					defaultValue = "10m") Duration answerWindow,
			@SettingsKey(meaning = "how long the platform's log keeps records",
					defaultValue = "168h") Duration retention) {

	}

	/**
	 * The files written in addition to the logs.
	 *
	 * @param events the file for recorded events; {@code null} for none
	 * @param samples the file for the samples that the burn report reads; {@code null}
	 * for none
	 */
	public record Files(
			@SettingsKey(meaning = "the file that every event is recorded to for replay, none by default",
					optional = true) @Nullable String events,
			@SettingsKey(
					meaning = "the file that one line a request is written to for the burn report, none by default",
					optional = true) @Nullable String samples) {

	}

}
