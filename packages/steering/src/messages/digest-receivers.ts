import type {Milliseconds} from '@parsleyvale/shared';
import type {HostState} from '../host-state.js';
import type {Member} from '../members.js';

/** In a failure domain with this many other hosts, idle ones announce themselves only within it. */
const largeDomainHosts = 8;

/** Selects the hosts that a digest is sent to. */
export class DigestReceivers {
	readonly #hostState: HostState;

	constructor(hostState: HostState) {
		this.#hostState = hostState;
	}

	/** Hosts that carry a part of the load. */
	listActive(now: Milliseconds): readonly Member[] {
		const {members, requestRate} = this.#hostState;
		return members.listActive(requestRate.computePerSecond(now));
	}

	listActiveInRegion(now: Milliseconds): readonly Member[] {
		return this.listActive(now).filter((member) => this.#isInRegion(member));
	}

	/** Hosts that are listed in the store and have not been heard from. */
	listUnheard(): readonly Member[] {
		return this.#hostState.members
			.listKnown()
			.filter(({lastHeardAt}) => lastHeardAt === undefined);
	}

	listIdle(now: Milliseconds): readonly Member[] {
		const active = new Set(this.listActive(now));
		return this.#hostState.members
			.listKnown()
			.filter((member) => !active.has(member));
	}

	listIdleInRegion(now: Milliseconds): readonly Member[] {
		return this.listIdle(now).filter((member) => this.#isInRegion(member));
	}

	/** Idle hosts whose look-ups may name this one while it is idle, too. */
	listIdleNeighbours(now: Milliseconds): readonly Member[] {
		const inRegion = this.listIdleInRegion(now);
		const isLargeDomain =
			this.#hostState.members
				.listKnown()
				.filter((member) => this.#isInDomain(member)).length >=
			largeDomainHosts;
		return isLargeDomain
			? inRegion.filter((member) => this.#isInDomain(member))
			: inRegion;
	}

	#isInRegion({host}: Member): boolean {
		return host.region === this.#hostState.settings.self.region;
	}

	#isInDomain(member: Member): boolean {
		const {failureDomain} = this.#hostState.settings.self;
		return (
			this.#isInRegion(member) && member.host.failureDomain === failureDomain
		);
	}
}
