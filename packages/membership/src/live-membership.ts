import {Membership, type Member} from '@parsleyvale/kernel';
import type {EntryHost, Milliseconds} from '@parsleyvale/shared';
import {toMember, type MemberTable} from './member-table.js';

/**
 * The membership service that other plug-ins use.
 *
 * @internal
 */
export class LiveMembership extends Membership {
	readonly #self: EntryHost;
	readonly #table: MemberTable;

	constructor(self: EntryHost, table: MemberTable) {
		super();
		this.#self = self;
		this.#table = table;
	}

	listLive(now: Milliseconds): readonly Member[] {
		const others = this.#table.listLive(now).map((entry) => toMember(entry));
		return this.#toSorted([{...this.#self, lastHeardAt: now}, ...others]);
	}

	listKnown(): readonly Member[] {
		const others = [...this.#table.entries].map((entry) => toMember(entry));
		return this.#toSorted([{...this.#self, lastHeardAt: undefined}, ...others]);
	}

	#toSorted(members: Member[]): Member[] {
		return members.sort((a, b) => (a.name < b.name ? -1 : 1));
	}
}
