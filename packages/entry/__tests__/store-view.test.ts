import {describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import type {BackendServer, SteeringConfiguration} from '@parsleyvale/steering';
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
	revision: number,
	servers: readonly BackendServer[],
): void {
	view.apply({
		type: 'fleet-listed',
		revision,
		servers,
		evacuationsRevision: 1,
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
	const delta = source.createDelta(target.version, target.revision);
	if (delta === undefined || delta.revision <= target.revision) {
		return;
	}

	const servers =
		target.merge(transfer(delta)) ??
		target.merge(transfer(source.createDelta(-1, -1)!));
	applyServers(target, delta.revision, servers!);
}

function listServers(view: StoreView): BackendServer[] {
	const delta = view.createDelta(-1, -1)!;
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
			applyServers(view, 5, servers);
			const [, ...rest] = servers;
			applyServers(view, 6, [...rest, createServer('i-20000')]);
			return JSON.stringify({...view.createDelta(1, 5), checksum: 0}).length;
		});
		expect(sizes[1]).toEqual(sizes[0]);
	});

	it('bring every host to the same list, whatever it knew before', () => {
		const step = fc.record({
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
				for (const [index, {servers, copies}] of steps.entries()) {
					applyServers(
						reader!,
						(index + 1) * 10,
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

	it('contain the whole list if too many servers were removed since', () => {
		const view = createView();
		const target = createView();
		const servers = Array.from({length: 3000}, (_, index) =>
			createServer(`i-${index}`),
		);
		applyServers(view, 1, servers);
		copyState(view, target);
		for (let removed = 1; removed <= 2000; removed++) {
			if (removed % 100 === 0) {
				applyServers(view, removed + 1, servers.slice(removed));
			}
		}

		copyState(view, target);
		expect(listServers(target)).toEqual(listServers(view));
	});
});
