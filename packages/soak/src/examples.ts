/** Creates a settings file in the platform's format, with the given values replaced. */
export function createSettingsFile(values: Record<string, unknown> = {}) {
	return {
		node_name: 'front-tpe-a-1',
		role: 'entry',
		ip: '127.0.0.1',
		zone: 'tpe-a',
		region: 'tpe',
		zones: {'tpe-a': 'tpe', 'sin-a': 'sin'},
		listen: {
			front: '127.0.0.1:8668',
			ready: '127.0.0.1:8666',
			directory: '127.0.0.1:8665',
		},
		internal_ports: [7220, 7235],
		seeds: [],
		first_start: true,
		bounds: ['revoke_s=5', 'strict_revoke=true', 'grace_s=6'],
		platform: {address: '127.0.0.1:8669'},
		...values,
	};
}

/** Creates a configuration in the operator's format, with the given values replaced. */
export function createOperatorConfiguration(
	values: Record<string, unknown> = {},
) {
	return {
		version: 'r7',
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 1_000_000,
			header_timeout_s: 3,
			idle_timeout_s: 15,
		},
		tenants: [
			{
				name: 'school',
				api_keys: ['key-1'],
				priority: 1,
				rate_per_s: 50,
				burst: 50,
				home_regions: [],
			},
		],
		listeners: [
			{
				host: 'a.example',
				rules: [
					{
						name: 'read',
						kind: 'safe',
						target_latency_s: 0.4,
						priority: 2,
						public: false,
						sticky: true,
						match: {path_prefix: '/read/'},
						action: {
							service: 'desk',
							timeout_s: 1.5,
							max_attempts: 2,
							home_regions: [],
						},
					},
					{
						name: 'buy',
						kind: 'unsafe',
						target_latency_s: 0.6,
						priority: 1,
						public: false,
						sticky: true,
						match: {path_prefix: '/buy/'},
						action: {
							traffic_split: [{service: 'desk', weight: 100}],
							timeout_s: 2,
							max_attempts: 2,
							home_regions: [],
						},
					},
				],
			},
		],
		clusters: [
			{
				name: 'desk',
				health_path: '/health',
				max_connections: 360,
				protocol: 'h1',
				tls: false,
				cold_start_s: 3,
				cold_per_s: 3.4,
			},
		],
		...values,
	};
}

/** Creates the entry that a server publishes about itself, with the given values replaced. */
export function createServerEntry(values: Record<string, unknown> = {}) {
	return {
		service: 'desk',
		address: '127.0.0.1:8080',
		zone: 'tpe-a',
		version: 'v1',
		slots: 3,
		state: 'ready',
		cold_remaining_s: 0,
		sequence: 4,
		...values,
	};
}
