import {second, type Milliseconds} from '@parsleyvale/shared';
import type {HostState} from '../host-state.js';
import {measureUnevenness} from '../servers/pool-unevenness.js';
import type {SteeringContext} from '../types.js';

const sampleInterval: Milliseconds = second;

/**
 * Reports the unevenness of each pool for which load control is enabled, once a
 * second while this host is active: idle hosts are not told the load of others.
 */
export class UnevennessSampler {
	readonly #hostState: HostState;
	#sampledAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(hostState: HostState) {
		this.#hostState = hostState;
	}

	sampleWhenDue(context: SteeringContext): void {
		const {now} = context;
		const sinceSample = now - this.#sampledAt;
		const isDue = sinceSample >= sampleInterval || sinceSample < 0;
		if (!isDue || !this.#hostState.isActive(now)) {
			return;
		}

		this.#sampledAt = now;
		const {serverTable, loadControl} = this.#hostState;
		const services = loadControl.isEnabled ? serverTable.listServices() : [];
		for (const service of services) {
			this.#sample(service, context);
		}
	}

	#sample(service: string, context: SteeringContext): void {
		const pool = this.#hostState.serverTable.findPool(service);
		const unevenness = measureUnevenness(pool?.servers ?? [], context.now);
		if (unevenness === undefined) {
			return;
		}

		const {spreadPercent, overrunServers} = unevenness;
		context.emit({
			type: 'observe',
			name: 'pool_load_spread_percent',
			labels: {service},
			value: spreadPercent,
		});
		context.emit({
			type: 'observe',
			name: 'pool_overrun_servers',
			labels: {service},
			value: overrunServers,
		});
		context.emit({
			type: 'count',
			name: 'pool_load_samples',
			labels: {service, outcome: overrunServers > 0 ? 'overrun' : 'even'},
		});
	}
}
