import {
	type Effect,
	type KernelEvent,
	type RequestArrived,
} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {FakeConfiguration, versioned} from './fake-services.js';
import {createFakeHost} from './fake-host.js';

function formatValue(key: string, value: unknown): string {
	const isNamed = key === 'server' || key === 'route';
	return isNamed ? (value as {name: string}).name : JSON.stringify(value);
}

function formatFields(message: KernelEvent | Effect): string {
	return Object.entries(message)
		.filter(([key, value]) => key !== 'type' && value !== undefined)
		.map(([key, value]) => `${key}=${formatValue(key, value)}`)
		.join(' ');
}

/** Records the events and effects of one entry host as text. */
export class SessionRecorder {
	readonly configuration = new FakeConfiguration();
	readonly host = createFakeHost('tpe-a-1', 1, {
		configuration: this.configuration,
		listLive: () => [this.host.identity],
	});

	readonly budgets = this.host.budgets;
	readonly router = this.host.router;
	readonly kernel = this.host.kernel;
	readonly lines: string[] = [];

	get text(): string {
		return `${this.lines.join('\n')}\n`;
	}

	configure(now: Milliseconds): void {
		this.kernel.handle(
			{type: 'configuration-changed', current: versioned},
			now,
		);
		this.lines.push(`${now} in  configuration-changed version=1`);
	}

	/** Starts a titled section of the recording. */
	startSection(title: string): void {
		this.lines.push('', `# ${title}`);
	}

	handle(now: Milliseconds, event: KernelEvent): Effect[] {
		this.lines.push(
			`${now} in  ${event.type} ${formatFields(event)}`.trimEnd(),
		);
		const effects = this.kernel.handle(event, now);
		for (const effect of effects) {
			this.lines.push(`${now} out ${effect.type} ${formatFields(effect)}`);
		}

		return effects;
	}

	arrive(
		now: Milliseconds,
		requestId: string,
		fields: Partial<RequestArrived> & Pick<RequestArrived, 'path'>,
	): Effect[] {
		return this.handle(now, {
			type: 'request-arrived',
			requestId,
			method: fields.path.startsWith('/entries') ? 'GET' : 'POST',
			keyHash: 'key:lesson',
			callerAddress: '10.0.0.1',
			idempotencyKey: undefined,
			fingerprint: 'f1',
			bodyBytes: undefined,
			deadline: undefined,
			...fields,
		});
	}

	/** Starts an attempt, unless it is not sent, and ends it 4 ms later. */
	runAttempt(
		now: Milliseconds,
		requestId: string,
		attempt: number,
		outcome: 'answered' | 'refused' | 'unknown' | 'not-sent',
	): void {
		if (outcome !== 'not-sent') {
			this.handle(now, {type: 'attempt-started', requestId, attempt});
		}

		this.handle(now + 4, {
			type: 'attempt-ended',
			requestId,
			attempt,
			outcome,
			status: outcome === 'answered' ? 200 : undefined,
			latency: outcome === 'answered' ? 3 : undefined,
			bytes: 0,
			repeatable: outcome !== 'answered',
			reportedLoad: undefined,
		});
	}

	/** Answers a write to the store. */
	answerWrite(
		now: Milliseconds,
		result: Extract<KernelEvent, {type: 'object-written'}>['result'],
		call: Effect | undefined,
	): Effect[] {
		if (call?.type !== 'write-object') {
			throw new Error('no store write is pending');
		}

		const {operationId, name} = call;
		return this.handle(now, {
			type: 'object-written',
			operationId,
			name,
			result,
		});
	}

	/** Answers a read from the store with the given value. */
	answerRead(
		now: Milliseconds,
		call: Effect | undefined,
		value: unknown,
	): Effect[] {
		if (call?.type !== 'read-object') {
			throw new Error('no store read is pending');
		}

		const {operationId, name} = call;
		return this.handle(now, {
			type: 'object-read',
			operationId,
			name,
			result: {kind: 'found', object: {name, version: 1, value}},
		});
	}
}
