/** Identifies a service that one plug-in provides and others inject. */
export type ServiceKey<Service> = {
	readonly name: string;
	readonly symbol: symbol;
	/** Holds the type of the service for the compiler; never set at run time. */
	readonly service?: Service;
};

/**
 * Creates a unique key, also where another key has the same name.
 *
 * @example
 * const budgetsKey = createServiceKey<Budgets>('budgets');
 */
export function createServiceKey<Service>(name: string): ServiceKey<Service> {
	return {name, symbol: Symbol(name)};
}
