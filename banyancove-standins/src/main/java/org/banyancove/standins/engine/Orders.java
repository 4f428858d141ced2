package org.banyancove.standins.engine;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The orders of an engine. An engine that ignores fencing tokens accepts every order,
 * including a late one of a paused planner. This class is thread-safe.
 */
final class Orders {

	private final boolean checkFence;

	private final ModelLoader loader;

	private OrderState desired = new OrderState(0, List.of(), List.of(), "mixed");

	Orders(boolean checkFence, ModelLoader loader) {
		this.checkFence = checkFence;
		this.loader = loader;
	}

	/**
	 * Accepts an order, unless its fencing token is checked and stale.
	 * @param order the desired state
	 * @return whether the order was accepted
	 */
	synchronized boolean accept(OrderState order) {
		if (this.checkFence && order.fence() < this.desired.fence()) {
			return false;
		}
		this.desired = order;
		this.loader.unloadAllExcept(order.models());
		return true;
	}

	/**
	 * Loads the models of an order, except those that a newer order has removed.
	 * @param order the order
	 * @throws InterruptedException if the engine is stopped
	 */
	void load(OrderState order) throws InterruptedException {
		for (String model : order.models()) {
			if (desired().models().contains(model)) {
				this.loader.load(model);
			}
		}
	}

	/**
	 * Returns the actual state, with those of the desired models that are loaded.
	 * @return the state
	 */
	OrderState state() {
		OrderState order = desired();
		return new OrderState(order.fence(), order.models().stream().filter(this.loader::isLoaded).toList(),
				order.adapters(), order.role());
	}

	/**
	 * Returns whether a model is loaded. An engine without ordered models serves every
	 * model.
	 * @param model the model
	 * @return whether the model is served
	 */
	boolean serves(String model) {
		return desired().models().isEmpty() || state().models().contains(model);
	}

	private synchronized OrderState desired() {
		return this.desired;
	}

	/**
	 * The state that an order requests.
	 *
	 * @param fence the fencing token
	 * @param models the models to load
	 * @param adapters the adapters to load
	 * @param role the engine's role
	 */
	record OrderState(long fence, List<String> models, List<String> adapters, String role) {

		OrderState(long fence, @Nullable List<String> models, @Nullable List<String> adapters, @Nullable String role) {
			this.fence = fence;
			this.models = (models != null) ? List.copyOf(models) : List.of();
			this.adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
			this.role = (role != null) ? role : "mixed";
		}

	}

}
