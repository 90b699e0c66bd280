import type {
	SteeringConfiguration,
	SteeringCustomer,
	SteeringRoute,
} from '../../src/index.js';

/** Creates a route with the given values and defaults for the others. */
export function createRoute(values: Partial<SteeringRoute>): SteeringRoute {
	return {
		name: 'read',
		hostName: 'example',
		pathPrefix: '/read/',
		isIdempotent: true,
		targets: [{service: 'desk', weight: 1}],
		timeoutMs: 1200,
		latencyObjectiveMs: 600,
		maximumAttempts: 2,
		priority: 2,
		homeRegions: [],
		isPublic: false,
		isSticky: true,
		...values,
	};
}

/** Creates a customer with the given values, by default without a rate limit. */
export function createCustomer(
	values: Partial<SteeringCustomer>,
): SteeringCustomer {
	return {
		name: 'school',
		keyHashes: ['key'],
		priority: undefined,
		ratePerSecond: 0,
		burst: 0,
		homeRegions: [],
		...values,
	};
}

/** Creates a configuration with the given values, by default with one route and one customer. */
export function createConfiguration(
	values: Partial<SteeringConfiguration> = {},
): SteeringConfiguration {
	return {
		version: 1,
		routes: [createRoute({})],
		services: [{name: 'desk', coldRatePerSecond: 3, maximumConnections: 300}],
		customers: [createCustomer({})],
		limits: {
			maximumHeaderBytes: 16_384,
			maximumBodyBytes: 1_000_000,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		...values,
	};
}
