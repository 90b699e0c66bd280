/** Names a service that one plug-in provides and others inject. */
export type ServiceKey<Service> = {
	readonly name: string;
	readonly symbol: symbol;
	/** Carries the type of the service; never set. */
	readonly service?: Service;
};

/**
 * A key of its own, equal to no other.
 *
 * @example
 * const budgetsKey = createServiceKey<Budgets>('budgets');
 */
export function createServiceKey<Service>(name: string): ServiceKey<Service> {
	return {name, symbol: Symbol(name)};
}
