import {second, type Milliseconds} from '@parsleyvale/shared';
import type {SteeringEffect} from '../effect.js';
import type {SteeringAttemptEnded} from '../event.js';
import {updateEjection, type EjectionDecision} from './ejection.js';
import {PoolControl} from './pool-control.js';
import {PoolReport} from './pool-report.js';
import type {InFlightRequest, ServerState} from './server-state.js';
import type {ServerTable} from './server-table.js';

/** Interval at which concurrency limits are observed. */
const observationInterval: Milliseconds = second;

/** Tells full servers from failing ones, where overload control is in force. */
export class PoolHealth {
	readonly #serverTable: ServerTable;
	/** The region of this host. */
	readonly #region: string;
	readonly #controls = new Map<string, PoolControl>();
	/** Services of which so many servers fail that the ejections are cancelled. */
	readonly #suspectServices = new Set<string>();
	readonly #report = new PoolReport();
	#observedAt: Milliseconds = Number.NEGATIVE_INFINITY;

	constructor(serverTable: ServerTable, region: string) {
		this.#serverTable = serverTable;
		this.#region = region;
	}

	/** Returns the metrics and log lines since the last call. */
	takeReport(now: Milliseconds): readonly SteeringEffect[] {
		if (now - this.#observedAt >= observationInterval) {
			this.#observedAt = now;
			for (const [service, {limit}] of this.#controls) {
				if (limit.current !== undefined) {
					this.#report.observe('concurrency_limit', service, limit.current);
				}
			}
		}

		return this.#report.take();
	}

	/** Whether this host may send a request to the service's servers. */
	hasRoom(service: string, now: Milliseconds): boolean {
		const control = this.#controls.get(service);
		return (
			control === undefined ||
			control.hasRoom(this.#serverTable.findPool(service), now)
		);
	}

	/** Returns the expected utilization of the service's servers in a region; undefined: none is usable. */
	findUtilization(
		service: string,
		region: string,
		now: Milliseconds,
	): number | undefined {
		return this.#getControl(service).regions.find(
			region,
			this.#serverTable.findPool(service),
			now,
		);
	}

	/** Whether the service's servers shed so much that a shed request should not be retried. */
	isSheddingWidely(service: string, now: Milliseconds): boolean {
		const control = this.#controls.get(service);
		return (
			control?.isSheddingWidely(this.#serverTable.findPool(service), now) ??
			false
		);
	}

	onSent({server}: ServerState): void {
		const {service, region} = server;
		this.#getControl(service).onSent();
		if (region !== this.#region) {
			this.#report.count('requests_overflowed', {service, region});
		}
	}

	onServed({server}: ServerState, now: Milliseconds): void {
		this.#onEnded(server.service, false, now);
	}

	/** Applies an attempt without a usable answer; returns whether the server is now ejected. */
	onNotServed(
		state: ServerState,
		request: InFlightRequest,
		{outcome, load}: Pick<SteeringAttemptEnded, 'outcome' | 'load'>,
		now: Milliseconds,
	): boolean {
		const isShed = outcome === 'not-run';
		this.#onEnded(state.server.service, isShed, now);
		if (isShed) {
			const {service} = state.server;
			this.#report.count('server_sheds', {service});
			state.onShed(request, load, now);
			return false;
		}

		state.recordFailure(request);
		return this.#updateEjection(state, now);
	}

	/** Applies an attempt that was cancelled since it took too long. */
	onOverdue(
		state: ServerState,
		request: InFlightRequest,
		now: Milliseconds,
	): void {
		const {id, service} = state.server;
		this.#report.count('requests_hedged', {service});
		state.recordOverdue(request, now);
		if (this.#updateEjection(state, now)) {
			this.#report.log('server ejected', {server: id, outcome: 'overdue'});
		}
	}

	#updateEjection(state: ServerState, now: Milliseconds): boolean {
		const {service} = state.server;
		const pool = this.#serverTable.findPool(service);
		const decision = updateEjection(pool?.servers ?? [], state, now);
		if (decision !== 'kept') {
			this.#report.count('server_ejections', {service, outcome: decision});
			this.#updateSuspicion(service, decision);
		}

		return decision === 'ejected';
	}

	#updateSuspicion(service: string, decision: EjectionDecision): void {
		if (decision === 'all-suspect' && !this.#suspectServices.has(service)) {
			this.#suspectServices.add(service);
			this.#report.log('ejections suspended', {service});
		} else if (
			decision === 'ejected' &&
			this.#suspectServices.delete(service)
		) {
			this.#report.log('ejections resumed', {service});
		}
	}

	#onEnded(service: string, isShed: boolean, now: Milliseconds): void {
		const pool = this.#serverTable.findPool(service);
		const control = this.#getControl(service);
		const wasLimited = control.limit.current !== undefined;
		control.onEnded(isShed, pool, now);
		const {current} = control.limit;
		if (wasLimited !== (current !== undefined)) {
			this.#report.log(
				wasLimited ? 'concurrency limit ended' : 'concurrency limit began',
				{service, limit: current && Math.round(current)},
			);
		}
	}

	#getControl(service: string): PoolControl {
		const control = this.#controls.get(service) ?? new PoolControl();
		this.#controls.set(service, control);
		return control;
	}
}
