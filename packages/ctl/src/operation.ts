import {setTimeout as wait} from 'node:timers/promises';
import type {
	Configuration,
	Milliseconds,
	VersionedConfiguration,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {
	AdministrationClient,
	SendResult,
} from './administration-client.js';
import type {CtlError} from './ctl-error.js';

const firstPause: Milliseconds = 50;
const longestPause: Milliseconds = 2000;

/** A whole configuration to be put in force once. */
export type ConfigurationOperation = {
	readonly operationId: string;
	readonly expectedVersion: number;
	readonly configuration: Configuration;
};

/** What a look at the configuration in force says of an operation. */
type Finding =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number}
	| {readonly kind: 'open'}
	| {readonly kind: 'unknown'};

/**
 * Puts a configuration in force at most once. An answer that was lost is
 * resolved by the operation id of the version in force; only where that
 * version is still the expected one is the operation sent again, which the
 * conditional write makes harmless.
 */
export async function runOperation(
	client: AdministrationClient,
	operation: ConfigurationOperation,
): Promise<Result<number, CtlError>> {
	const {operationId, expectedVersion, configuration} = operation;
	let isLost = false;
	for (let sends = 0; sends === 0 || client.hasTime; sends++) {
		const result = await client.sendConfiguration(
			expectedVersion,
			operationId,
			configuration,
		);
		if (!isLost && result.kind !== 'lost') {
			return toResult(operation, result);
		}

		if (result.kind === 'accepted') {
			return Result.ok(result.version);
		}

		isLost = true;
		const seen = result.kind === 'conflict' ? result.version : 0;
		const finding = await findOutcome(client, operation, seen);
		if (finding.kind === 'unknown') {
			break;
		}

		if (finding.kind !== 'open') {
			return toResult(operation, finding);
		}

		await wait(computePause(sends));
	}

	return Result.err({kind: 'outcome-unknown', operationId});
}

/** Withdraws a key; withdrawing again changes nothing. */
export async function runKeyWithdrawal(
	client: AdministrationClient,
	keyName: string,
	operationId: string,
): Promise<Result<number, CtlError>> {
	let isLost = false;
	for (let sends = 0; sends === 0 || client.hasTime; sends++) {
		const result = await client.sendKeyWithdrawal(keyName, operationId);
		if (result.kind === 'accepted') {
			return Result.ok(result.version);
		}

		if (result.kind === 'failed') {
			const isFinal = result.error.kind !== 'not-reached';
			if (isFinal || !isLost) {
				return Result.err(result.error);
			}
		}

		isLost ||= result.kind === 'lost';
		await wait(computePause(sends));
	}

	return Result.err({kind: 'outcome-unknown', operationId});
}

/** Reads the configuration until it is at least at a version. */
export async function readConfigurationFrom(
	client: AdministrationClient,
	version: number,
): Promise<Result<VersionedConfiguration, CtlError>> {
	for (let reads = 0; ; reads++) {
		const result = await client.readConfiguration();
		const isNew = result.isOk && result.value.version >= version;
		if (isNew || !client.hasTime) {
			return result;
		}

		// The entry host that answers may lag behind the one that wrote.
		await wait(computePause(reads));
	}
}

async function findOutcome(
	client: AdministrationClient,
	{operationId, expectedVersion}: ConfigurationOperation,
	seenVersion: number,
): Promise<Finding> {
	const result = await readConfigurationFrom(client, seenVersion);
	if (result.isErr) {
		return {kind: 'open'};
	}

	const current = result.value;
	if (current.operationId === operationId) {
		return {kind: 'accepted', version: current.version};
	}

	if (current.version <= expectedVersion) {
		return {kind: 'open'};
	}

	// A later version may hide that the operation made the one before.
	return current.version === expectedVersion + 1
		? {kind: 'conflict', version: current.version}
		: {kind: 'unknown'};
}

function toResult(
	{expectedVersion, operationId}: ConfigurationOperation,
	result: SendResult,
): Result<number, CtlError> {
	switch (result.kind) {
		case 'accepted': {
			return Result.ok(result.version);
		}

		case 'conflict': {
			const {version} = result;
			return Result.err({kind: 'version-conflict', expectedVersion, version});
		}

		case 'failed': {
			return Result.err(result.error);
		}

		case 'lost': {
			return Result.err({kind: 'outcome-unknown', operationId});
		}
	}
}

function computePause(tries: number): Milliseconds {
	return Math.min(longestPause, firstPause * 2 ** tries);
}
