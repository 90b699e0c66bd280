import {randomUUID} from 'node:crypto';
import {isDeepStrictEqual} from 'node:util';
import type {SectionName} from '@parsleyvale/configuration';
import type {Configuration, VersionedConfiguration} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {AdministrationClient} from './administration-client.js';
import type {CtlError} from './ctl-error.js';
import {readConfigurationAtLeast, runOperation} from './operation.js';

const maxAttempts = 5;

/** A change of one named object of the configuration. */
export type ObjectChange = {
	readonly section: SectionName;
	readonly name: string;
	/** Returns the configuration with the change applied. */
	apply(configuration: Configuration): Result<Configuration, CtlError>;
};

export type ChangeOutcome = {
	readonly version: number;
	/** False if the configuration already contained the change. */
	readonly changed: boolean;
};

/**
 * Reads the configuration, changes one object and writes it back. If another
 * operator changed the configuration in the meantime, the change is reapplied to
 * the newer version. It fails with a conflict if they changed the same object.
 */
export async function changeConfiguration(
	client: AdministrationClient,
	change: ObjectChange,
): Promise<Result<ChangeOutcome, CtlError>> {
	const initial = await client.readConfiguration();
	if (initial.isErr) {
		return Result.err(initial.error);
	}

	let current = initial.value;
	for (let attempt = 1; ; attempt++) {
		const outcome = await attemptChange(client, change, current);
		if (
			outcome.isOk ||
			outcome.error.kind !== 'version-conflict' ||
			attempt === maxAttempts
		) {
			return outcome;
		}

		const latest = await readConfigurationAtLeast(
			client,
			outcome.error.version,
		);
		if (latest.isErr || !isObjectUnchanged(change, current, latest.value)) {
			return outcome;
		}

		current = latest.value;
	}
}

async function attemptChange(
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

	const result = await runOperation(client, {
		operationId: randomUUID(),
		expectedVersion: current.version,
		configuration: changed.value,
	});
	return result.map((version) => ({version, changed: true}));
}

/** Whether the object to change is the same in a later configuration. */
function isObjectUnchanged(
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
