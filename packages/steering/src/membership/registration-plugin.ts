import {Plugin} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import type {SteeringEffect} from '../effect.js';
import type {SteeringEvent, SteeringEventOf} from '../event.js';
import {hostStateKey, type HostState} from '../host-state.js';
import type {SteeringContext, SteeringKernel} from '../types.js';

/** All hosts learn at the same moment that the store lost their entries; they write them again spread over this time for each host of the fleet. */
const spreadPerHost: Milliseconds = 10;

/**
 * Keeps this host's entry in the store: has it written again after the store
 * returned from a copy that may not contain it, or if a list shows that it is gone.
 */
export class RegistrationPlugin extends Plugin<SteeringEvent, SteeringEffect> {
	#hostState!: HostState;
	/** Era of the store in which the entry was written last; undefined: it is being written. */
	#writtenEra: number | undefined;
	#isMissing = false;
	#dueAt: Milliseconds | undefined;

	get name(): string {
		return 'registration';
	}

	install(kernel: SteeringKernel): void {
		this.#hostState = kernel.inject(hostStateKey);
		kernel.on('host-entry-written', ({era}) => {
			this.#writtenEra = era;
			this.#isMissing = false;
			this.#dueAt = undefined;
		});
		kernel.on('hosts-listed', (event) => {
			this.#isMissing = !this.#isListed(event);
		});
		kernel.on('tick', (_event, context) => {
			this.#writeWhenDue(context);
		});
	}

	/** An entry of an earlier incarnation may have been written late. */
	#isListed({hosts}: SteeringEventOf<'hosts-listed'>): boolean {
		const {self} = this.#hostState.settings;
		return hosts.some(
			({name, incarnation}) =>
				name === self.name && incarnation === self.incarnation,
		);
	}

	#writeWhenDue(context: SteeringContext): void {
		const writtenEra = this.#writtenEra;
		const {serverTable, members, settings, stopSchedule} = this.#hostState;
		if (writtenEra === undefined || stopSchedule.isStopping) {
			return;
		}

		const era = Math.max(
			serverTable.position.era,
			serverTable.evacuationsPosition.era,
		);
		if (era <= writtenEra && !this.#isMissing) {
			this.#dueAt = undefined;
			return;
		}

		const spread = spreadPerHost * (members.listKnown().length + 1);
		this.#dueAt ??= context.now + settings.random() * spread;
		if (context.now < this.#dueAt) {
			return;
		}

		this.#writtenEra = undefined;
		context.emit({type: 'write-host-entry'});
		context.emit({
			type: 'log',
			priority: 'belief',
			message: "host's entry is written again",
			fields: {era, writtenEra, isMissing: this.#isMissing},
		});
	}
}
