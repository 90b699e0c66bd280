import {
	drainTargetSchema,
	toProblems,
	type DrainTarget,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {CtlError} from './ctl-error.js';

/** Options that select the drain target; exactly one must be given. */
export type DrainOptions = {
	readonly server: string | undefined;
	/** `REGION/NAME`. */
	readonly failureDomain: string | undefined;
	readonly region: string | undefined;
	readonly entryHost: string | undefined;
};

/** Returns the drain target that the options select. */
export function parseDrainTarget(
	options: DrainOptions,
): Result<DrainTarget, CtlError> {
	const targets = [...listTargets(options)];
	if (targets.length !== 1) {
		const message =
			'Specify exactly one of --server NAME, --failure-domain REGION/NAME, ' +
			'--region NAME or --entry-host NAME';
		return Result.err({kind: 'wrong-command-line', message});
	}

	const parsed = drainTargetSchema.safeParse(targets[0]);
	return parsed.success
		? Result.ok(parsed.data)
		: Result.err({
				kind: 'invalid-configuration',
				problems: toProblems('command line', parsed.error.issues),
			});
}

/** Returns the name of the only drain that a target can have. */
export function toDrainName(target: DrainTarget): string {
	return target.kind === 'failure-domain'
		? `${target.kind}.${target.region}.${target.name}`
		: `${target.kind}.${target.name}`;
}

function* listTargets(options: DrainOptions): Generator<DrainTarget> {
	const {server, failureDomain, region, entryHost} = options;
	if (server !== undefined) {
		yield {kind: 'server', name: server};
	}

	if (failureDomain !== undefined) {
		const [regionName = '', name = ''] = failureDomain.split('/');
		yield {kind: 'failure-domain', region: regionName, name};
	}

	if (region !== undefined) {
		yield {kind: 'region', name: region};
	}

	if (entryHost !== undefined) {
		yield {kind: 'entry-host', name: entryHost};
	}
}
