package org.banyancove.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.banyancove.core.AccountName;
import org.banyancove.core.RequestId;
import org.banyancove.core.profile.PlacementPolicyName;
import org.banyancove.core.routing.PromptPrefix;

/**
 * Generates a user's requests: mostly long ones in the first half and mostly short ones
 * in the second half, with a peak in the middle of each. The requests depend only on the
 * seed, not on how they are handled.
 */
final class Workload {

	private static final int MINIMUM_PREFIX_TOKENS = 64;

	private static final double FIRST_HALF_LONG_SHARE = 0.9;

	private static final double SECOND_HALF_LONG_SHARE = 0.1;

	private static final double PEAK_AMPLITUDE = 0.35;

	/** Orders are rare compared to model requests. */
	private static final double ORDERS_PER_SECOND = 4;

	private static final double MEDIAN_ORDER_SECONDS = 0.04;

	private final UserModel user;

	private final Fleet fleet;

	private final double load;

	private final double seconds;

	private final RandomGenerator random;

	private int count;

	Workload(UserModel user, Fleet fleet, double load, double seconds, RandomGenerator random) {
		this.user = user;
		this.fleet = fleet;
		this.load = load;
		this.seconds = seconds;
		this.random = random;
	}

	List<Arrival> generate() {
		List<Arrival> arrivals = new ArrayList<>();
		generateModelRequests(arrivals);
		generateOrders(arrivals);
		arrivals.sort(Comparator.comparingDouble(Arrival::at));
		return arrivals;
	}

	private void generateModelRequests(List<Arrival> arrivals) {
		double at = 0;
		while (true) {
			at += this.random.nextExponential() / rate(at);
			if (at >= this.seconds) {
				return;
			}
			boolean isLong = this.random.nextDouble() < longShare(at);
			arrivals.add(modelRequest(at, (isLong ? this.user.longShape() : this.user.shortShape())));
		}
	}

	private double rate(double at) {
		double longRequests = longShare(at);
		double fleetSecondsPerRequest = longRequests / capacity(this.user.longShape())
				+ (1 - longRequests) / capacity(this.user.shortShape());
		double halfProgress = (at * 2 / this.seconds) % 1;
		double peak = 1 + PEAK_AMPLITUDE * Math.sin(Math.PI * (2 * halfProgress - 0.5));
		return this.load * peak / fleetSecondsPerRequest;
	}

	private double longShare(double at) {
		return ((at * 2 < this.seconds) ? FIRST_HALF_LONG_SHARE : SECOND_HALF_LONG_SHARE);
	}

	private double capacity(RequestShape shape) {
		double tokenTarget = this.user.modelProfile(PlacementPolicyName.ROUND_ROBIN).tokenTarget().toMillis() / 1000.0;
		double sum = 0;
		for (Fleet.Engine engine : this.fleet.engines()) {
			sum += engine.speed().requestsPerSecond(shape, tokenTarget);
		}
		return sum;
	}

	private Arrival modelRequest(double at, RequestShape shape) {
		int account = drawAccount();
		int document = drawDocument();
		int own = 1 + (int) (shape.uniqueTokens() * this.random.nextExponential());
		int output = Math.max(8, (int) (shape.outputTokens() * (0.5 + this.random.nextDouble())));
		int shared = shape.accountTokens() + shape.documentTokens();
		int prompt = Math.min(shared + own, shared + 8 * shape.uniqueTokens());
		List<PromptPrefix> prefixes = prefixes(shape, account, document, prompt);
		return new Arrival(at, nextId(), UserModel.MODEL, accountName(account), isLarge(account), prefixes, prompt,
				output, 0);
	}

	private int drawDocument() {
		// The distribution is skewed: some documents are requested far more often.
		double skewed = Math.pow(this.random.nextDouble(), 2);
		return (int) (skewed * this.user.documentsPerAccount());
	}

	private List<PromptPrefix> prefixes(RequestShape shape, int account, int document, int prompt) {
		List<PromptPrefix> prefixes = new ArrayList<>();
		long own = this.random.nextLong();
		for (int tokens = MINIMUM_PREFIX_TOKENS; tokens <= prompt; tokens *= 2) {
			long digest;
			if (tokens <= shape.accountTokens()) {
				digest = mix(account, shape.accountTokens(), tokens);
			}
			else if (tokens <= shape.accountTokens() + shape.documentTokens()) {
				digest = mix(account * 1000L + document + 1, shape.documentTokens(), tokens);
			}
			else {
				digest = mix(own, 0, tokens);
			}
			prefixes.add(new PromptPrefix(digest, tokens));
		}
		return prefixes;
	}

	private void generateOrders(List<Arrival> arrivals) {
		double at = 0;
		while (true) {
			at += this.random.nextExponential() / ORDERS_PER_SECOND;
			if (at >= this.seconds) {
				return;
			}
			int account = drawAccount();
			double service = MEDIAN_ORDER_SECONDS * Math.exp(0.5 * this.random.nextGaussian());
			arrivals.add(new Arrival(at, nextId(), UserModel.ORDERS, accountName(account), isLarge(account), List.of(),
					1, 0, service));
		}
	}

	private int drawAccount() {
		double drawn = this.random.nextDouble();
		int account = 0;
		for (double share : UserModel.ACCOUNT_SHARES) {
			drawn -= share;
			if (drawn < 0) {
				return account;
			}
			account++;
		}
		return UserModel.ACCOUNT_SHARES.size() - 1;
	}

	private RequestId nextId() {
		this.count++;
		return new RequestId("r" + this.count);
	}

	private static AccountName accountName(int account) {
		return new AccountName("account-" + account);
	}

	private static boolean isLarge(int account) {
		return account < UserModel.LARGE_ACCOUNTS;
	}

	private static long mix(long first, long second, long third) {
		long mixed = first * 0x9E3779B97F4A7C15L + second * 0xBF58476D1CE4E5B9L + third * 0x94D049BB133111EBL;
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
