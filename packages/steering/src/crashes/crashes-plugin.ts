import {Plugin} from '@parsleyvale/kernel';
import type {SteeringEffect} from '../effect.js';
import type {SteeringEvent} from '../event.js';
import {hostStateKey} from '../host-state.js';
import type {SteeringContext, SteeringKernel} from '../types.js';
import {CrashGuard, crashGuardKey} from './crash-guard.js';

/** Provides the guard against requests that crash servers, and logs which ones are blocked. */
export class CrashesPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	#guard!: CrashGuard;
	#loggedIdentities: ReadonlySet<string> = new Set();

	get name(): string {
		return 'crashes';
	}

	install(kernel: SteeringKernel): void {
		const {members, settings} = kernel.inject(hostStateKey);
		const guard = new CrashGuard({self: settings.self.name, members});
		this.#guard = guard;
		kernel.provide(crashGuardKey, guard);
		kernel.on('digest-received', ({digest}, {now}) => {
			if (members.isNewest(digest)) {
				guard.onDigest(digest, now);
			}
		});
		kernel.on('tick', (_event, context) => {
			guard.onTick(context.now);
			this.#logChanges(context);
		});
	}

	#logChanges(context: SteeringContext): void {
		const {culprits} = this.#guard;
		if (culprits.size === 0 && this.#loggedIdentities.size === 0) {
			return;
		}

		for (const [identity, {crashCount, blockedUntil}] of culprits) {
			if (!this.#loggedIdentities.has(identity)) {
				logBelief(context, 'request blocked as it crashes servers', {
					identity,
					crashes: crashCount,
					forMs: Math.round(blockedUntil - context.now),
				});
			}
		}

		for (const identity of this.#loggedIdentities) {
			if (!culprits.has(identity)) {
				logBelief(context, 'request no longer blocked', {identity});
			}
		}

		this.#loggedIdentities = new Set(culprits.keys());
	}
}

function logBelief(
	context: SteeringContext,
	message: string,
	fields: Readonly<Record<string, string | number>>,
): void {
	context.emit({type: 'log', priority: 'belief', message, fields});
}
