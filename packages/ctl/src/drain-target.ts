import {
	drainTargetSchema,
	toProblems,
	type DrainTarget,
} from '@parsleyvale/shared';
import {Result} from 'true-myth';
import type {CtlError} from './ctl-error.js';

/** The options that name what to drain; exactly one is allowed. */
export type DrainOptions = {
	readonly server: string | undefined;
	/** `REGION/NAME`. */
	readonly failureDomain: string | undefined;
	readonly region: string | undefined;
	readonly entryHost: string | undefined;
};

/** What the options of a command name. */
export function parseDrainTarget(
	options: DrainOptions,
): Result<DrainTarget, CtlError> {
	const targets = [...listTargets(options)];
	if (targets.length !== 1) {
		const message =
			'Give one of --server NAME, --failure-domain REGION/NAME, ' +
			'--region NAME and --entry-host NAME';
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

/** The name of the drain of a target: there is one for each target. */
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
		const [of = '', name = ''] = failureDomain.split('/');
		yield {kind: 'failure-domain', region: of, name};
	}

	if (region !== undefined) {
		yield {kind: 'region', name: region};
	}

	if (entryHost !== undefined) {
		yield {kind: 'entry-host', name: entryHost};
	}
}
