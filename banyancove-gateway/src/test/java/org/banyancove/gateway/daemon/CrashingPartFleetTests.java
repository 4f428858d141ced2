package org.banyancove.gateway.daemon;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a fleet stops sending requests that share a part which crashes endpoints,
 * and goes on serving the requests that have the other parts.
 */
class CrashingPartFleetTests {

	private static final long DEADLY = 1000;

	private static final long OTHER_DEADLY = 1001;

	private static final int FIRST_PARTS = 3;

	private static final int SECOND_PARTS = 40;

	private static final int MAXIMUM_LATE_ARRIVALS = 3;

	/** The required share of sound first attempts, relative to undisrupted operation. */
	private static final double MINIMUM_SOUND_SHARE = 0.5;

	private static final Duration SETTLED = CrashSimulation.CONTACT_TIME.multipliedBy(2);

	// Guards against endpoints that end one after another under requests that have only
	// one part of their prompts in common.
	@ParameterizedTest
	@CsvSource({ "9, 4, 0, false, 1", "9, 4, 0.1, true, 2", "9, 40, 0, false, 3", "9, 40, 0.1, true, 4",
			"90, 4, 0, false, 5", "90, 4, 0.1, true, 6", "90, 40, 0, false, 7", "90, 40, 0.1, true, 8",
			"300, 4, 0.1, false, 9", "300, 40, 0.1, true, 10" })
	void aFleetStopsSendingRequestsWithAPartThatCrashesEndpoints(int gateways, double deadlyPerSecond, double lossRate,
			boolean disrupted, long seed) {
		CrashSimulation simulation = start(gateways, seed);
		simulation.setLossRate(lossRate);
		simulation.setDisrupted(disrupted);
		addDeadlyRequests(simulation, DEADLY, deadlyPerSecond);
		runUntilKnown(simulation, DEADLY);
		simulation.runFor(SETTLED);
		simulation.resetSoundCounts();
		simulation.runFor(Duration.ofSeconds(30));
		assertThat(simulation.lateArrivals(DEADLY)).as("arrivals after the fifth crash was known")
			.isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
		assertThat(simulation.soundBegunShare()).as("sound requests begun at the first attempt")
			.isGreaterThanOrEqualTo(MINIMUM_SOUND_SHARE);
	}

	// Guards against a second part that hides behind the first one.
	@ParameterizedTest
	@CsvSource({ "9, 11", "90, 12" })
	void aFleetTellsTwoDeadlyPartsApart(int gateways, long seed) {
		CrashSimulation simulation = start(gateways, seed);
		simulation.setDeadlyParts(DEADLY, OTHER_DEADLY);
		addDeadlyRequests(simulation, DEADLY, 8);
		addDeadlyRequests(simulation, OTHER_DEADLY, 4);
		runUntilKnown(simulation, OTHER_DEADLY);
		simulation.runFor(SETTLED);
		simulation.resetSoundCounts();
		simulation.runFor(Duration.ofSeconds(20));
		assertThat(simulation.lateArrivals(DEADLY)).isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
		assertThat(simulation.lateArrivals(OTHER_DEADLY)).isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
		assertThat(simulation.soundBegunShare()).isGreaterThanOrEqualTo(MINIMUM_SOUND_SHARE);
	}

	// Guards against a part that stays trusted because it was sound before, such as under
	// the former weights.
	@ParameterizedTest
	@CsvSource({ "9, 4, 21", "9, 40, 22", "90, 4, 23", "90, 40, 24" })
	void aFleetStopsSendingAPartThatWasSoundBefore(int gateways, double deadlyPerSecond, long seed) {
		CrashSimulation simulation = start(gateways, seed);
		simulation.setDeadlyParts();
		addDeadlyRequests(simulation, DEADLY, deadlyPerSecond);
		simulation.runFor(Duration.ofSeconds(20));
		simulation.setDeadlyParts(DEADLY);
		runUntilKnown(simulation, DEADLY);
		simulation.runFor(SETTLED);
		simulation.resetSoundCounts();
		simulation.runFor(Duration.ofSeconds(20));
		assertThat(simulation.lateArrivals(DEADLY)).isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
		assertThat(simulation.soundBegunShare()).isGreaterThanOrEqualTo(MINIMUM_SOUND_SHARE);
	}

	// Guards against a burst of arrivals at all gateways when a quarantine ends.
	@ParameterizedTest
	@CsvSource({ "9, 40, 31", "90, 40, 32" })
	void aFleetTriesAPartAgainWithOneRequestAtATime(int gateways, double deadlyPerSecond, long seed) {
		CrashSimulation simulation = start(gateways, seed);
		addDeadlyRequests(simulation, DEADLY, deadlyPerSecond);
		runUntilKnown(simulation, DEADLY);
		simulation.runFor(Duration.ofSeconds(150));
		assertThat(simulation.lateArrivals(DEADLY)).isLessThanOrEqualTo(MAXIMUM_LATE_ARRIVALS);
	}

	// Guards against a part that stays rejected although it crashes endpoints no more.
	@ParameterizedTest
	@CsvSource({ "9, 41", "90, 42" })
	void aPartThatIsMendedIsServedAgain(int gateways, long seed) {
		CrashSimulation simulation = start(gateways, seed);
		addDeadlyRequests(simulation, DEADLY, 8);
		runUntilKnown(simulation, DEADLY);
		simulation.runFor(SETTLED);
		simulation.setDeadlyParts();
		simulation.runFor(Duration.ofSeconds(90));
		simulation.resetSoundCounts();
		simulation.runFor(Duration.ofSeconds(10));
		assertThat(simulation.soundBegunShare()).isGreaterThanOrEqualTo(0.95);
	}

	// Guards against the rejection of innocent parts because endpoints end for another
	// cause, all of a data center at once or one after another.
	@ParameterizedTest
	@CsvSource({ "9, true, 51", "9, false, 52", "90, true, 53", "90, false, 54", "300, true, 55" })
	void soundPartsAreServedWhileEndpointsEndForAnotherCause(int gateways, boolean dataCenter, long seed) {
		CrashSimulation simulation = start(gateways, seed);
		simulation.setDeadlyParts();
		simulation.setLossRate(0.02);
		simulation.runFor(Duration.ofSeconds(5));
		for (int i = 0; i < 6; i++) {
			if (dataCenter) {
				simulation.endDataCenter(i % 2, Duration.ofSeconds(2));
			}
			else {
				simulation.endEndpoint(simulation.random().nextInt(12));
			}
			simulation.runFor(Duration.ofMillis(700));
		}
		simulation.runFor(Duration.ofSeconds(3));
		simulation.resetSoundCounts();
		simulation.runFor(Duration.ofSeconds(10));
		assertThat(simulation.soundBegunShare()).isGreaterThanOrEqualTo(0.95);
	}

	private static CrashSimulation start(int gateways, long seed) {
		CrashSimulation simulation = new CrashSimulation(gateways, 12, seed);
		SplittableRandom random = simulation.random();
		simulation.setDeadlyParts(DEADLY);
		simulation.addSource(60, () -> List.of((long) random.nextInt(FIRST_PARTS), 100L + secondPart(random)));
		simulation.runFor(Duration.ofSeconds(5));
		return simulation;
	}

	// Some parts are much more popular than others.
	private static long secondPart(SplittableRandom random) {
		return (long) (SECOND_PARTS * random.nextDouble() * random.nextDouble());
	}

	private static void addDeadlyRequests(CrashSimulation simulation, long part, double perSecond) {
		SplittableRandom random = simulation.random();
		simulation.addSource(perSecond,
				() -> List.of((long) random.nextInt(FIRST_PARTS), part, 100L + secondPart(random)));
	}

	private static void runUntilKnown(CrashSimulation simulation, long part) {
		for (int i = 0; i < 1000 && simulation.crashes(part) < 5; i++) {
			simulation.runFor(Duration.ofMillis(20));
		}
	}

}
