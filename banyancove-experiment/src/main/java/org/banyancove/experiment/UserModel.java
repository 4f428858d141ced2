package org.banyancove.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.banyancove.core.DataCenterName;
import org.banyancove.core.EndpointId;
import org.banyancove.core.MachineClass;
import org.banyancove.core.ProfileName;
import org.banyancove.core.ServiceName;
import org.banyancove.core.VmId;
import org.banyancove.core.ZoneName;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.profile.Profile;
import org.banyancove.core.routing.EndpointDefinition;
import org.banyancove.core.routing.PlacementSettings;

/**
 * The models of two users: their endpoints, accounts and kinds of requests.
 */
enum UserModel {

	/**
	 * Eight planning engines and three order services; plans at dawn, questions by day.
	 */
	LAGON_BLEU(12),

	/**
	 * Six engines and three order services; complete scores, then short hints at night.
	 */
	KOWHAI_LANE(40);

	static final ServiceName MODEL = new ServiceName("model");

	static final ServiceName ORDERS = new ServiceName("orders");

	/** The share of requests of each account; the first two accounts are large. */
	static final List<Double> ACCOUNT_SHARES = List.of(0.45, 0.35, 0.1, 0.06, 0.04);

	static final int LARGE_ACCOUNTS = 2;

	private final int documentsPerAccount;

	UserModel(int documentsPerAccount) {
		this.documentsPerAccount = documentsPerAccount;
	}

	static UserModel parse(String text) {
		return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	RequestShape longShape() {
		return switch (this) {
			case LAGON_BLEU -> new RequestShape(512, 1024, 500, 500);
			case KOWHAI_LANE -> new RequestShape(256, 4096, 300, 900);
		};
	}

	RequestShape shortShape() {
		return switch (this) {
			case LAGON_BLEU -> new RequestShape(192, 128, 120, 60);
			case KOWHAI_LANE -> new RequestShape(256, 1024, 80, 40);
		};
	}

	int documentsPerAccount() {
		return this.documentsPerAccount;
	}

	Profile modelProfile(PlacementPolicyName policy) {
		return new Profile(new ProfileName("answers"), firstTokenTarget(), Duration.ofMillis(50),
				Duration.ofSeconds(60), 0.95, 1, policy, 0.1, 0.5, false, 1 << 20);
	}

	Profile orderProfile(PlacementPolicyName policy) {
		return new Profile(new ProfileName("orders"), Duration.ofMillis(400), Duration.ofMillis(50),
				Duration.ofSeconds(5), 0.95, 0, policy, 0.1, 0.5, true, 1 << 20);
	}

	PlacementSettings placementSettings() {
		return switch (this) {
			case LAGON_BLEU -> PlacementSettings.DEFAULT;
			case KOWHAI_LANE -> new PlacementSettings(0.8, 4);
		};
	}

	private Duration firstTokenTarget() {
		return switch (this) {
			case LAGON_BLEU -> Duration.ofMillis(1500);
			case KOWHAI_LANE -> Duration.ofSeconds(4);
		};
	}

	Fleet fleet() {
		return switch (this) {
			case LAGON_BLEU -> lagonBleu();
			case KOWHAI_LANE -> kowhaiLane();
		};
	}

	private static Fleet lagonBleu() {
		return new Fleet(
				List.of(engine("e1", "mahebourg", "mahebourg-a", "large", 2.4, 1.5),
						engine("e2", "mahebourg", "mahebourg-a", "large", 2.4, 1.4),
						engine("e3", "mahebourg", "mahebourg-b", "medium", 1.0, 0.9),
						engine("e4", "trou-deau", "trou-deau-a", "large", 2.0, 1.5),
						engine("e5", "trou-deau", "trou-deau-a", "medium", 1.3, 1.0),
						engine("e6", "trou-deau", "trou-deau-b", "old", 0.9, 0.5),
						engine("e7", "poste-lafayette", "poste-lafayette-a", "medium", 0.8, 0.9),
						engine("e8", "poste-lafayette", "poste-lafayette-a", "old", 0.5, 0.4)),
				List.of(service("o1", "mahebourg", "mahebourg-a", 0.2, 1.2),
						service("o2", "trou-deau", "trou-deau-a", 0.15, 0.8),
						service("o3", "poste-lafayette", "poste-lafayette-a", 0.1, 0.5)),
				"mahebourg-a");
	}

	private static Fleet kowhaiLane() {
		return new Fleet(
				List.of(engine("e1", "north1", "north1-a", "large", 2.2, 1.6),
						engine("e2", "north1", "north1-a", "medium", 1.2, 1.0),
						engine("e3", "north2", "north2-a", "large", 1.9, 1.4),
						engine("e4", "north2", "north2-b", "old", 0.7, 0.5),
						engine("e5", "north3", "north3-a", "medium", 0.9, 0.9),
						engine("e6", "north3", "north3-b", "old", 0.5, 0.45)),
				List.of(service("o1", "north1", "north1-a", 0.2, 1.2), service("o2", "north2", "north2-a", 0.15, 0.8),
						service("o3", "north3", "north3-a", 0.1, 0.5)),
				"north1-a");
	}

	private static Fleet.Engine engine(String name, String dataCenter, String zone, String machineClass, double price,
			double speed) {
		EngineSpeed engineSpeed = new EngineSpeed(6000 * speed, 0.014 / speed, 0.0006 / speed, 48, 160_000, 40_000);
		return new Fleet.Engine(definition(name, dataCenter, zone, machineClass, MODEL, price), engineSpeed);
	}

	private static Fleet.Service service(String name, String dataCenter, String zone, double price, double speed) {
		return new Fleet.Service(definition(name, dataCenter, zone, "small", ORDERS, price), 8, speed);
	}

	private static EndpointDefinition definition(String name, String dataCenter, String zone, String machineClass,
			ServiceName service, double price) {
		return new EndpointDefinition(new EndpointId(name), new VmId("vm-" + name), new DataCenterName(dataCenter),
				new ZoneName(zone), new MachineClass(machineClass), service, "127.0.0.1:1", price);
	}

}
