import type {AttemptOutcome} from '@parsleyvale/kernel';
import * as fc from 'fast-check';
import {toHostKeyPrefix} from '../src/index.js';
import type {StoreOutcome} from './fake-store.js';
import {Fleet, type FleetOptions} from './fleet.js';

type IndexedOperation = {
	readonly kind: 'repeat-end' | 'ghost' | 'replace' | 'cancel' | 'stop';
	readonly index: number;
};

type SwitchOperation = {
	readonly kind: 'freeze' | 'server' | 'withdraw';
	readonly index: number;
	readonly isOn: boolean;
};

/** One external event or fault in a generated session. */
export type Operation =
	| {
			readonly kind: 'send';
			readonly host: number;
			readonly path: string;
			readonly keyHash: string | undefined;
			readonly idempotencyKey: string | undefined;
			readonly fingerprint: string;
			readonly callerAddress: string;
	  }
	| {
			readonly kind: 'end-attempt';
			readonly index: number;
			readonly outcome: AttemptOutcome;
			readonly isExecuted: boolean;
			readonly repeatable: boolean;
	  }
	| {
			readonly kind: 'store';
			readonly index: number;
			readonly outcome: StoreOutcome;
	  }
	| IndexedOperation
	| SwitchOperation
	| {
			readonly kind: 'peer';
			readonly index: number;
			readonly times: 0 | 1 | 2;
	  }
	| {readonly kind: 'store-down'; readonly isOn: boolean}
	| {readonly kind: 'lend'; readonly index: number; readonly customer: string}
	| {readonly kind: 'advance'; readonly span: number};

const index = fc.nat({max: 11});
const isOn = fc.boolean();
const customers = ['lesson', 'school'];
const keys = customers.map((customer) => `key:${customer}`);

/** Keys that name the first incarnations of two hosts. */
const hostKeys = ['host-0.1', 'host-1.2'].map(
	(incarnation) => `${toHostKeyPrefix({incarnation}, 0)}a`,
);

const send = fc.record({
	kind: fc.constant('send' as const),
	host: index,
	path: fc.constantFrom('/purchases', '/purchases', '/entries', '/reports'),
	keyHash: fc.constantFrom(...keys, ...keys, undefined),
	idempotencyKey: fc.constantFrom('a', 'b', undefined, ...hostKeys),
	fingerprint: fc.constantFrom('same', 'same', 'same', 'other'),
	callerAddress: fc.constantFrom('10.0.0.1', '10.0.0.2'),
});

const endAttempt = fc.record({
	kind: fc.constant('end-attempt' as const),
	index,
	outcome: fc.constantFrom<AttemptOutcome>(
		'answered',
		'not-sent',
		'refused',
		'unknown',
		'cut',
		'cancelled',
	),
	isExecuted: fc.boolean(),
	repeatable: fc.constantFrom(true, true, false),
});

const store = fc.record({
	kind: fc.constant('store' as const),
	index,
	outcome: fc.constantFrom<StoreOutcome>(
		'done',
		'done',
		'done',
		'answer-lost',
		'late',
		'dropped',
		'failed',
		'stale',
	),
});

const peer = fc.record({
	kind: fc.constant('peer' as const),
	index,
	times: fc.constantFrom<0 | 1 | 2>(1, 1, 1, 2, 0),
});

const faults = fc.oneof(
	fc.record({
		kind: fc.constantFrom('repeat-end', 'ghost', 'replace', 'cancel', 'stop'),
		index,
	}),
	fc.record({
		kind: fc.constantFrom('freeze', 'freeze', 'server', 'withdraw'),
		index,
		isOn,
	}),
	fc.record({kind: fc.constant('store-down' as const), isOn}),
	fc.record({
		kind: fc.constant('lend' as const),
		index,
		customer: fc.constantFrom(...customers),
	}),
	fc.record({
		kind: fc.constant('advance' as const),
		span: fc.constantFrom(5, 20, 250, 1200),
	}),
);

/** Generates sessions of up to 60 operations. */
export const sessionArbitrary: fc.Arbitrary<Operation[]> = fc.array(
	fc.oneof(
		{weight: 5, arbitrary: send},
		{weight: 4, arbitrary: endAttempt},
		{weight: 5, arbitrary: store},
		{weight: 4, arbitrary: peer},
		{weight: 4, arbitrary: faults},
	),
	{minLength: 1, maxLength: 60, size: 'max'},
);

function applyIndexed(fleet: Fleet, operation: IndexedOperation): void {
	switch (operation.kind) {
		case 'repeat-end': {
			fleet.redeliverEnd(operation.index);
			break;
		}

		case 'ghost': {
			fleet.runOrphanedAttempt(operation.index);
			break;
		}

		case 'replace': {
			fleet.replaceHost(operation.index);
			break;
		}

		case 'cancel': {
			fleet.cancelRequest(operation.index);
			break;
		}

		case 'stop': {
			const host = fleet.hosts[operation.index % fleet.hosts.length]!;
			fleet.deliver(host, {type: 'intake-closed'});
			break;
		}
	}
}

function applySwitch(fleet: Fleet, operation: SwitchOperation): void {
	switch (operation.kind) {
		case 'freeze': {
			fleet.setFrozen(operation.index, operation.isOn);
			break;
		}

		case 'server': {
			fleet.hosts[operation.index % fleet.hosts.length]!.router.hasServer =
				operation.isOn;
			break;
		}

		case 'withdraw': {
			const key = keys[operation.index % keys.length]!;
			fleet.setWithdrawn(key, operation.isOn);
			break;
		}
	}
}

function applyOperation(fleet: Fleet, operation: Operation): void {
	switch (operation.kind) {
		case 'send': {
			const {kind: _kind, host, ...request} = operation;
			fleet.send(host, request);
			break;
		}

		case 'end-attempt': {
			fleet.endAttempt(operation.index, operation.outcome, operation);
			break;
		}

		case 'store': {
			fleet.answerStore(operation.index, operation.outcome);
			break;
		}

		case 'peer': {
			fleet.deliverPeer(operation.index, operation.times);
			break;
		}

		case 'store-down': {
			fleet.isStoreDown = operation.isOn;
			break;
		}

		case 'lend': {
			fleet.lend(operation.index, operation.customer);
			break;
		}

		case 'advance': {
			fleet.advance(operation.span);
			break;
		}

		case 'freeze':
		case 'server':
		case 'withdraw': {
			applySwitch(fleet, operation);
			break;
		}

		case 'repeat-end':
		case 'ghost':
		case 'replace':
		case 'cancel':
		case 'stop': {
			applyIndexed(fleet, operation);
			break;
		}
	}
}

/** Runs a session until it settles; throws when an invariant is violated. */
export function runSession(
	operations: readonly Operation[],
	options: FleetOptions,
): Fleet {
	const fleet = new Fleet(options);
	for (const operation of operations) {
		applyOperation(fleet, operation);
	}

	fleet.settle();
	return fleet;
}
