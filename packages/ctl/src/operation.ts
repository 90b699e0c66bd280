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

const initialBackoff: Milliseconds = 50;
const maxBackoff: Milliseconds = 2000;

/** A full configuration to activate at most once. */
export type ConfigurationOperation = {
	readonly operationId: string;
	readonly expectedVersion: number;
	readonly configuration: Configuration;
};

/** State of an operation, as far as the active configuration reveals it. */
type OperationState =
	| {readonly kind: 'accepted'; readonly version: number}
	| {readonly kind: 'conflict'; readonly version: number}
	/** The expected version is still active, or the active one is unreadable. */
	| {readonly kind: 'open'}
	/** The operation may have created a version that has been replaced since. */
	| {readonly kind: 'unknown'};

/**
 * Activates a configuration at most once. If a response was lost, the operation
 * id of the active version shows whether the operation succeeded. The operation
 * is sent again if the active version is still the expected one or cannot be
 * read; this is safe because the write is conditional on the expected version.
 */
export async function runOperation(
	client: AdministrationClient,
	operation: ConfigurationOperation,
): Promise<Result<number, CtlError>> {
	const {operationId, expectedVersion, configuration} = operation;
	let hasLostResponse = false;
	for (let retries = 0; retries === 0 || client.hasTimeLeft; retries++) {
		const result = await client.sendConfiguration(
			expectedVersion,
			operationId,
			configuration,
		);
		if (!hasLostResponse && result.kind !== 'lost') {
			return toResult(operation, result);
		}

		if (result.kind === 'accepted') {
			return Result.ok(result.version);
		}

		hasLostResponse = true;
		const minVersion = result.kind === 'conflict' ? result.version : 0;
		const state = await readOperationState(client, operation, minVersion);
		if (state.kind === 'unknown') {
			break;
		}

		if (state.kind !== 'open') {
			return toResult(operation, state);
		}

		await wait(computeBackoff(retries));
	}

	return Result.err({kind: 'outcome-unknown', operationId});
}

/** Withdraws a key; idempotent. */
export async function runKeyWithdrawal(
	client: AdministrationClient,
	keyName: string,
	operationId: string,
): Promise<Result<number, CtlError>> {
	let hasLostResponse = false;
	for (let retries = 0; retries === 0 || client.hasTimeLeft; retries++) {
		const result = await client.sendKeyWithdrawal(keyName, operationId);
		if (result.kind === 'accepted') {
			return Result.ok(result.version);
		}

		if (result.kind === 'failed') {
			const isFinal = result.error.kind !== 'not-reached';
			if (isFinal || !hasLostResponse) {
				return Result.err(result.error);
			}
		}

		hasLostResponse ||= result.kind === 'lost';
		await wait(computeBackoff(retries));
	}

	return Result.err({kind: 'outcome-unknown', operationId});
}

/** Reads the configuration until its version is at least `minVersion`. */
export async function readConfigurationAtLeast(
	client: AdministrationClient,
	minVersion: number,
): Promise<Result<VersionedConfiguration, CtlError>> {
	for (let retries = 0; ; retries++) {
		const result = await client.readConfiguration();
		const isRecent = result.isOk && result.value.version >= minVersion;
		if (isRecent || !client.hasTimeLeft) {
			return result;
		}

		// The entry host that responds may lag behind the one that made the change.
		await wait(computeBackoff(retries));
	}
}

async function readOperationState(
	client: AdministrationClient,
	{operationId, expectedVersion}: ConfigurationOperation,
	minVersion: number,
): Promise<OperationState> {
	const result = await readConfigurationAtLeast(client, minVersion);
	if (result.isErr) {
		return {kind: 'open'};
	}

	const active = result.value;
	if (active.operationId === operationId) {
		return {kind: 'accepted', version: active.version};
	}

	if (active.version <= expectedVersion) {
		return {kind: 'open'};
	}

	// A later version may have replaced the one that the operation created.
	return active.version === expectedVersion + 1
		? {kind: 'conflict', version: active.version}
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

function computeBackoff(retries: number): Milliseconds {
	return Math.min(maxBackoff, initialBackoff * 2 ** retries);
}
