/** Key of the one tenant. */
export const apiKey = 'b9wu3fexd9dnn2ctnfzs';
export const hostName = 'ficu95.example';
export const tenant = 'kaje80';

/* eslint-disable camelcase -- Names of the platform's messages. */

/** Creates a configuration like that of the site hanlin-lex; values of the routes can be replaced. */
export function createConfiguration({
	version = 'r7',
	keys = [apiKey],
	safeTimeout = 1.5,
	safeAttempts = 2,
	unsafeTimeout = 2,
	uploadTimeout = 4,
} = {}) {
	const rule = (kind, prefix, {objective, timeout, attempts}) => ({
		name: `r-${kind}`,
		kind,
		target_latency_s: objective,
		priority: kind === 'safe' ? 2 : 1,
		public: false,
		sticky: true,
		match: {path_prefix: prefix},
		action: {
			service: 'reader-desk',
			timeout_s: timeout,
			max_attempts: attempts,
			home_regions: [],
		},
	});
	return {
		version,
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 67_108_864,
			header_timeout_s: 3,
			idle_timeout_s: 15,
		},
		tenants: [
			{
				name: tenant,
				api_keys: keys,
				priority: 1,
				rate_per_s: 0,
				burst: 0,
				home_regions: [],
			},
		],
		base_version: 'r5',
		listeners: [
			{
				host: hostName,
				rules: [
					rule('safe', '/lookup/', {
						objective: 0.4,
						timeout: safeTimeout,
						attempts: safeAttempts,
					}),
					rule('unsafe', '/order/', {
						objective: 0.6,
						timeout: unsafeTimeout,
						attempts: 1,
					}),
					rule('upload', '/upload/', {
						objective: 0.5,
						timeout: uploadTimeout,
						attempts: 1,
					}),
				],
			},
		],
		clusters: [
			{
				name: 'reader-desk',
				health_path: '/health',
				max_connections: 360,
				protocol: 'h1',
				tls: false,
				cold_start_s: 3,
				cold_per_s: 3.4,
			},
		],
	};
}

/** Creates a server's entry in the store. */
export function createServerEntry({address, zone, slots}) {
	return {
		service: 'reader-desk',
		address,
		zone,
		version: 'v1',
		slots,
		state: 'ready',
		cold_remaining_s: 0,
		sequence: 1,
		born: Date.now() - 600_000,
	};
}

/* eslint-enable camelcase */
