import {createManualClock, type Milliseconds} from '@parsleyvale/shared';
import {
	createSteering,
	type BackendServer,
	type Digest,
	type SteeringConfiguration,
	type SteeringEffect,
	type SteeringEvent,
	type SteeringHost,
	type SteeringSettings,
} from '../../src/index.js';
import {createConfiguration} from './configuration.js';

export function createServer(values: Partial<BackendServer>): BackendServer {
	return {
		id: 'server-1',
		service: 'desk',
		address: '127.0.0.1',
		port: 1,
		failureDomain: 'east-a',
		region: 'east',
		slots: 4,
		isDraining: false,
		coldRemainingMs: 0,
		incarnation: '1',
		...values,
	};
}

export function createHost(values: Partial<SteeringHost>): SteeringHost {
	return {
		name: 'host-1',
		incarnation: 'host-1/1',
		region: 'east',
		failureDomain: 'east-a',
		callers: '127.0.0.1:1',
		capacity: 1,
		peerAddress: '127.0.0.1',
		peerPort: 1,
		...values,
	};
}

export function createDigest(values: Partial<Digest>): Digest {
	return {
		name: 'host-2',
		incarnation: 'host-2/1',
		sequence: 1,
		region: 'east',
		failureDomain: 'east-a',
		callers: '127.0.0.2:1',
		capacity: 1,
		address: '127.0.0.2',
		port: 1,
		isReady: true,
		requestsPerSecond: 10,
		configurationVersion: 1,
		configurationAgeMs: 0,
		isReading: true,
		isStoreLost: false,
		storeRegainedAgoMs: null,
		fleetPosition: {era: 1, revision: 1},
		evacuationsPosition: {era: 1, revision: 1},
		...values,
	};
}

export function createSettings(
	values: Partial<SteeringSettings> = {},
): SteeringSettings {
	return {
		self: createHost({}),
		regions: new Map([['east-a', 'east']]),
		isFirstStart: true,
		maximumWithdrawalDelay: 5000,
		retryRatio: 0.2,
		retryAllowance: 60,
		retryWindowDuration: 10_000,
		rateTolerance: {windowDuration: 5000, fraction: 0.1, requests: 20},
		stopTimeout: 6000,
		isLoadControlRequired: false,
		random: () => 0.5,
		...values,
	};
}

/** Drives the kernel of one host with single events on a manual clock. */
export class KernelSession {
	readonly clock = createManualClock(0);
	readonly kernel;
	#requests = 0;

	constructor(settings: Partial<SteeringSettings> = {}) {
		this.kernel = createSteering(createSettings(settings));
	}

	handle(event: SteeringEvent): SteeringEffect[] {
		return this.kernel.handle(event, this.clock.now());
	}

	/** Handles an event and returns its effects of one type. */
	takeEffects<Type extends SteeringEffect['type']>(
		type: Type,
		event: SteeringEvent,
	): Array<Extract<SteeringEffect, {type: Type}>> {
		return this.handle(event).filter(
			(effect): effect is Extract<SteeringEffect, {type: Type}> =>
				effect.type === type,
		);
	}

	start(
		servers: readonly BackendServer[],
		configuration: SteeringConfiguration = createConfiguration(),
	): void {
		this.handle({
			type: 'configuration-read',
			configuration,
			confirmationAge: 0,
		});
		this.listServers(servers, 1);
	}

	listServers(
		servers: readonly BackendServer[],
		revision: number,
		era = 1,
	): SteeringEffect[] {
		const position = {era, revision};
		return this.handle({
			type: 'fleet-listed',
			position,
			servers,
			evacuationsPosition: position,
			evacuated: [],
		});
	}

	/** Advances the clock with its ticks and returns their effects. */
	wait(duration: Milliseconds): SteeringEffect[] {
		const effects: SteeringEffect[] = [];
		for (let passed = 0; passed < duration; passed += 50) {
			this.clock.advance(50);
			effects.push(...this.handle({type: 'tick'}));
		}

		return effects;
	}

	/** Sends a request; returns its id and effects. */
	send(
		values: Partial<Extract<SteeringEvent, {type: 'request-arrived'}>> = {},
	): {id: string; effects: SteeringEffect[]} {
		const id = `request-${++this.#requests}`;
		const effects = this.handle({
			type: 'request-arrived',
			requestId: id,
			callerId: undefined,
			hostName: 'example',
			path: '/read/1',
			keyHash: 'key',
			affinity: undefined,
			bodyBytes: 0,
			isBodyBuffered: true,
			fingerprint: '0000000000000001',
			arrivedAt: this.clock.now(),
			timeLeft: 4000,
			...values,
		});
		return {id, effects};
	}

	/** Ends an attempt with the given values, by default with a complete answer. */
	endAttempt(
		requestId: string,
		attempt: number,
		values: Partial<Extract<SteeringEvent, {type: 'attempt-ended'}>> = {},
	): SteeringEffect[] {
		return this.handle({
			type: 'attempt-ended',
			requestId,
			attempt,
			outcome: 'answered',
			status: 200,
			isAnswerBuffered: true,
			isReplayable: true,
			load: undefined,
			rateLimit: undefined,
			connectTime: undefined,
			responseBytes: 0,
			wasConnectionLost: false,
			...values,
		});
	}
}

/** Summarizes the decisions among effects: forward, refuse, deliver and cancel-attempt, with their subjects. */
export function listDecisions(effects: readonly SteeringEffect[]): string[] {
	return effects.flatMap((effect) => {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- Only decisions are listed.
		switch (effect.type) {
			case 'forward': {
				return [`forward ${effect.server.id}`];
			}

			case 'refuse': {
				return [`refuse ${effect.kind}`];
			}

			case 'deliver':
			case 'cancel-attempt': {
				return [`${effect.type} ${effect.attempt}`];
			}

			default: {
				return [];
			}
		}
	});
}
