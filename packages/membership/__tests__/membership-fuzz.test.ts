import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	MemberFleet,
	lookUpLifetimeMs,
	type MemberHost,
} from './member-fleet.js';

const seed = 9104;
const runCount = 60;
const names = ['a', 'b', 'c', 'd'];
const checkIntervalMs = 100;

/** Liveness time-out, longest undetected pause, tick interval and delay. */
const maxDeadHostAgeMs = 2000 + 500 + 100 + 20;
const maxFreezeMs = 6000;

/** Delay of the host list, first-contact time-out and detection of dead hosts. */
const convergenceTimeMs = 3000 + 5000 + 3000;

type Step =
	| {kind: 'kill' | 'start' | 'stop'; host: number}
	| {kind: 'freeze'; host: number; spanMs: number}
	| {kind: 'cut'; host: number; other: number}
	| {kind: 'lossy' | 'heal'}
	| {kind: 'run'; spanMs: number};

const host = fc.nat(3);
const steps: fc.Arbitrary<Step[]> = fc.array(
	fc.oneof(
		fc.record({
			kind: fc.constantFrom('kill' as const, 'start' as const, 'stop' as const),
			host,
		}),
		fc.record({
			kind: fc.constant('freeze' as const),
			host,
			spanMs: fc.constantFrom(500, 3000, maxFreezeMs),
		}),
		fc.record({kind: fc.constant('cut' as const), host, other: host}),
		fc.record({kind: fc.constantFrom('lossy' as const, 'heal' as const)}),
		{
			weight: 4,
			arbitrary: fc.record({
				kind: fc.constant('run' as const),
				spanMs: fc.constantFrom(100, 500, 2500),
			}),
		},
	),
	{minLength: 5, maxLength: 30, size: 'max'},
);

class Session {
	readonly #fleet: MemberFleet;
	/** When each process ended, by incarnation. */
	readonly #ended = new Map<string, number>();

	constructor(networkSeed: number) {
		this.#fleet = new MemberFleet(networkSeed);
		for (const name of names) {
			this.#fleet.start(name);
		}

		this.#run(1000);
	}

	run(step: Step): void {
		switch (step.kind) {
			case 'kill': {
				this.#end(this.#fleet.hosts[step.host]!);
				break;
			}

			case 'start': {
				this.#end(this.#fleet.hosts[step.host]!);
				this.#fleet.start(names[step.host]!);
				break;
			}

			case 'stop': {
				const stopped = this.#fleet.hosts[step.host]!;
				stopped.isStopping = true;
				this.#fleet.deliver(stopped, {type: 'stop-requested'});
				break;
			}

			case 'freeze': {
				const frozen = this.#fleet.hosts[step.host]!;
				const until = this.#fleet.schedule.now + step.spanMs;
				frozen.frozenUntil = Math.max(frozen.frozenUntil, until);
				break;
			}

			case 'cut': {
				this.#fleet.partition(names[step.host]!, names[step.other]!);
				break;
			}

			case 'lossy': {
				this.#fleet.lossRate = 0.3;
				break;
			}

			case 'heal': {
				this.#fleet.heal();
				break;
			}

			case 'run': {
				this.#run(step.spanMs);
				break;
			}
		}
	}

	/** Checks that each live host lists exactly the live hosts after healing. */
	waitUntilConverged(): void {
		this.#fleet.heal();
		this.#run(maxFreezeMs + convergenceTimeMs);
		const live = this.#fleet.hosts.filter(({isAlive}) => isAlive);
		const liveNames = live.map(({name}) => name).sort();
		for (const member of live) {
			const {now} = this.#fleet.schedule;
			const seen = member.membership.listLive(now).map(({name}) => name);
			expect(seen).toEqual(liveNames);
		}
	}

	#end(ended: MemberHost): void {
		if (ended.isAlive) {
			this.#fleet.kill(ended);
			this.#ended.set(ended.host.incarnation, this.#fleet.schedule.now);
		}
	}

	#run(spanMs: number): void {
		for (let passedMs = 0; passedMs < spanMs; passedMs += checkIntervalMs) {
			this.#fleet.schedule.advance(checkIntervalMs);
			this.#endStopped();
			this.#checkLookUps();
		}
	}

	#endStopped(): void {
		const {now} = this.#fleet.schedule;
		for (const member of this.#fleet.hosts) {
			const isDue =
				member.isStopping && member.isAlive && member.frozenUntil <= now;
			if (isDue && !member.plugin.isBusy(now)) {
				this.#end(member);
			}
		}
	}

	#checkLookUps(): void {
		const {now} = this.#fleet.schedule;
		const running = this.#fleet.hosts.filter(
			({isAlive, frozenUntil}) => isAlive && frozenUntil <= now,
		);
		for (const member of running) {
			const answer = this.#fleet.lookUp(member);
			expect(answer.length > 0).toEqual(true);
			for (const {incarnation} of answer) {
				const endedAt = this.#ended.get(incarnation) ?? now;
				expect(now - endedAt <= maxDeadHostAgeMs).toEqual(true);
			}
		}
	}
}

describe('membership under injected faults', () => {
	it('lists no host seconds after its death, never answers empty, and converges', () => {
		const property = fc.property(steps, fc.nat(), (script, networkSeed) => {
			const session = new Session(networkSeed);
			for (const step of script) {
				session.run(step);
			}

			session.waitUntilConverged();
		});
		fc.assert(property, {seed, numRuns: runCount});
	});

	it('stays busy until look-up answers with a stopping host have expired', () => {
		const property = fc.property(fc.nat(), fc.boolean(), (network, isLossy) => {
			const fleet = new MemberFleet(network);
			for (const name of names) {
				fleet.start(name);
			}

			fleet.schedule.advance(2000);
			fleet.lossRate = isLossy ? 0.3 : 0;
			const [stopping, ...others] = fleet.hosts;
			fleet.deliver(stopping!, {type: 'stop-requested'});
			let namedAt = fleet.schedule.now;
			while (stopping!.plugin.isBusy(fleet.schedule.now)) {
				fleet.schedule.advance(checkIntervalMs);
				const named = others.flatMap((other) => fleet.lookUp(other));
				const isNamed = named.includes(stopping!.host);
				namedAt = isNamed ? fleet.schedule.now : namedAt;
			}

			expect(fleet.schedule.now - namedAt >= lookUpLifetimeMs).toEqual(true);
		});
		fc.assert(property, {seed, numRuns: 100});
	});
});
