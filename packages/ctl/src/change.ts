import {randomUUID} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import type {SectionName} from '@parsleyvale/configuration';
import type {Configuration, VersionedConfiguration} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {AdministrationClient} from './administration-client.js';
import type {CtlError} from './ctl-error.js';
import {readConfigurationFrom, runOperation} from './operation.js';

const maximumRounds = 5;

/** A change of one named object of the configuration. */
export type ObjectChange = {
	readonly section: SectionName;
	readonly name: string;
	/** The configuration with the change made. */
	apply(configuration: Configuration): Result<Configuration, CtlError>;
};

export type ChangeOutcome = {
	readonly version: number;
	/** False when the configuration already was as asked. */
	readonly changed: boolean;
};

/**
 * Reads the configuration, changes one object and writes it back. When
 * another operator was faster, the change is made again on top of theirs,
 * unless they changed the same object: that is a conflict.
 */
export async function changeConfiguration(
	client: AdministrationClient,
	change: ObjectChange,
): Promise<Result<ChangeOutcome, CtlError>> {
	const first = await client.readConfiguration();
	if (first.isErr) {
		return Result.err(first.error);
	}

	let current = first.value;
	for (let round = 1; ; round++) {
		const outcome = await runRound(client, change, current);
		if (
			outcome.isOk ||
			outcome.error.kind !== 'version-conflict' ||
			round === maximumRounds
		) {
			return outcome;
		}

		const next = await readConfigurationFrom(client, outcome.error.version);
		if (next.isErr || !isUntouched(change, current, next.value)) {
			return outcome;
		}

		current = next.value;
	}
}

async function runRound(
	client: AdministrationClient,
	change: ObjectChange,
	current: VersionedConfiguration,
): Promise<Result<ChangeOutcome, CtlError>> {
	const changed = change.apply(current.configuration);
	if (changed.isErr) {
		return Result.err(changed.error);
	}

	if (isDeepStrictEqual(changed.value, current.configuration)) {
		return Result.ok({version: current.version, changed: false});
	}

	const version = await runOperation(client, {
		operationId: randomUUID(),
		expectedVersion: current.version,
		configuration: changed.value,
	});
	return version.map((number) => ({version: number, changed: true}));
}

/** Whether a later configuration has the same object as an earlier one. */
function isUntouched(
	{section, name}: ObjectChange,
	before: VersionedConfiguration,
	after: VersionedConfiguration,
): boolean {
	return (
		after.version > before.version &&
		isDeepStrictEqual(
			findObject(before.configuration, section, name),
			findObject(after.configuration, section, name),
		)
	);
}

function findObject(
	configuration: Configuration,
	section: SectionName,
	name: string,
): unknown {
	const objects: ReadonlyArray<{readonly name: string}> =
		configuration[section];
	return objects.find((object) => object.name === name);
}
