import {describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import {
	comparePositions,
	unreadPosition,
	type BackendServer,
	type SteeringConfiguration,
	type StorePosition,
} from '@parsleyvale/steering';
import {expect} from 'earl';
import fc from 'fast-check';
import {
	storeDeltaSchema,
	StoreView,
	type StoreDelta,
} from '../src/store-view.js';

const runs = {numRuns: 300, seed: 5};

function createServer(id: string, slots = 3): BackendServer {
	return {
		id,
		service: 'desk',
		address: '127.0.0.1',
		port: 1,
		failureDomain: 'a',
		region: 'east',
		slots,
		isDraining: false,
		coldRemainingMs: 0,
		incarnation: '1',
	};
}

function createConfiguration(): SteeringConfiguration {
	return {
		version: 1,
		routes: [],
		services: [],
		customers: [],
		limits: {
			maximumHeaderBytes: 1,
			maximumBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	};
}

function createView(): StoreView {
	const view = new StoreView(createManualClock(0));
	view.apply({
		type: 'configuration-read',
		configuration: createConfiguration(),
		confirmationAge: 0,
	});
	return view;
}

function applyServers(
	view: StoreView,
	position: StorePosition,
	servers: readonly BackendServer[],
): void {
	view.apply({
		type: 'fleet-listed',
		position,
		servers,
		evacuationsPosition: {era: 1, revision: 1},
		evacuated: [],
	});
}

/** Returns what the target receives of a delta. */
function transfer(delta: StoreDelta): StoreDelta {
	const text = JSON.stringify(delta);
	return storeDeltaSchema.parse(JSON.parse(text));
}

/** Returns the server with its fields in another order, as read from the store. */
function reverseFields(server: BackendServer): BackendServer {
	return Object.fromEntries(
		Object.entries(server).reverse(),
	) as unknown as BackendServer;
}

/** Copies what the source has to the target, as a fetch between two hosts does. */
function copyState(source: StoreView, target: StoreView): void {
	const delta = source.createDelta(target.version, target.position);
	if (
		delta === undefined ||
		comparePositions(delta.position, target.position) <= 0
	) {
		return;
	}

	const servers =
		target.merge(transfer(delta)) ??
		target.merge(transfer(source.createDelta(-1, unreadPosition)!));
	applyServers(target, delta.position, servers!);
}

function listServers(view: StoreView): BackendServer[] {
	const delta = view.createDelta(-1, unreadPosition)!;
	return [...view.merge(transfer(delta))!].sort((a, b) =>
		a.id.localeCompare(b.id),
	);
}

describe('the changes that a host passes on to another one', () => {
	it('do not grow with the servers that have not changed', () => {
		const sizes = [400, 4000].map((count) => {
			const servers = Array.from({length: count}, (_, index) =>
				createServer(`i-${10_000 + index}`),
			);
			const view = createView();
			applyServers(view, {era: 1, revision: 5}, servers);
			const [, ...rest] = servers;
			const position = {era: 1, revision: 6};
			applyServers(view, position, [...rest, createServer('i-20000')]);
			const delta = view.createDelta(1, {era: 1, revision: 5});
			return JSON.stringify({...delta, checksum: 0}).length;
		});
		expect(sizes[1]).toEqual(sizes[0]);
	});

	it('bring every host to the same list, whatever it knew before', () => {
		const step = fc.record({
			/** Whether the store returned from an older copy before. */
			isRestored: fc.boolean(),
			/** Servers by number, each with its slots; the others are not listed. */
			servers: fc.dictionary(
				fc.integer({min: 0, max: 12}).map(String),
				fc.integer({min: 1, max: 3}),
			),
			copies: fc.array(fc.tuple(fc.nat({max: 3}), fc.nat({max: 3})), {
				maxLength: 4,
			}),
		});
		fc.assert(
			fc.property(fc.array(step, {minLength: 1, maxLength: 12}), (steps) => {
				const views = [0, 1, 2, 3].map(() => createView());
				const [reader] = views;
				let position = {era: 1, revision: 0};
				for (const {isRestored, servers, copies} of steps) {
					const {era, revision} = position;
					position = isRestored
						? {era: era + 1, revision: Math.floor(revision / 20) * 10}
						: {era, revision: revision + 10};
					applyServers(
						reader!,
						position,
						Object.entries(servers).map(([id, slots]) =>
							reverseFields(createServer(id, slots)),
						),
					);
					for (const [from, to] of copies) {
						copyState(views[from]!, views[to]!);
					}
				}

				for (const view of views) {
					copyState(reader!, view);
					expect(listServers(view)).toEqual(listServers(reader!));
				}
			}),
			runs,
		);
	});

	it('are the whole list for a host that knows another era, and only changes within an era', () => {
		const view = createView();
		const servers = ['i-1', 'i-2'].map((id) => createServer(id));
		applyServers(view, {era: 1, revision: 90}, servers);
		applyServers(view, {era: 2, revision: 10}, servers);
		applyServers(view, {era: 2, revision: 20}, [
			createServer('i-1', 4),
			createServer('i-2'),
		]);
		const listChanged = (position: StorePosition) => {
			const {isWhole, changed} = view.createDelta(1, position)!;
			return {isWhole, changed: changed.map(({id}) => id)};
		};

		expect(listChanged({era: 1, revision: 90})).toEqual({
			isWhole: true,
			changed: ['i-1', 'i-2'],
		});
		expect(listChanged({era: 2, revision: 10})).toEqual({
			isWhole: false,
			changed: ['i-1'],
		});
	});

	it('contain the whole list if too many servers were removed since', () => {
		const view = createView();
		const target = createView();
		const servers = Array.from({length: 3000}, (_, index) =>
			createServer(`i-${index}`),
		);
		applyServers(view, {era: 1, revision: 1}, servers);
		copyState(view, target);
		for (let removed = 1; removed <= 2000; removed++) {
			if (removed % 100 === 0) {
				const position = {era: 1, revision: removed + 1};
				applyServers(view, position, servers.slice(removed));
			}
		}

		copyState(view, target);
		expect(listServers(target)).toEqual(listServers(view));
	});
});
