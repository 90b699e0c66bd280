import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EntryHost} from '@parsleyvale/shared';
import {createPeers, type ReceivedMessage} from '../src/index.js';

const address = '127.0.0.1';

function toHost(name: string, port: number): EntryHost {
	return {
		name,
		incarnation: '1',
		region: 'tpe',
		failureDomain: 'tpe-a',
		callers: {address, port: 0},
		peers: {address, port},
		leaving: false,
	};
}

function createTestPeers(name: string) {
	const {promise: message, resolve: onMessage} =
		createSignal<ReceivedMessage>();
	const {promise: unreachable, resolve: onUnreachable} = createSignal<string>();
	const peers = createPeers({
		self: {name, incarnation: `${name}-1`},
		endpoint: {address, port: 0},
		onMessage,
		onUnreachable,
	});
	return {peers, message, unreachable};
}

type Signal<Value> = {
	readonly promise: Promise<Value>;
	readonly resolve: (value: Value) => void;
};

function createSignal<Value>(): Signal<Value> {
	let resolveSignal: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>((resolve) => {
		resolveSignal = resolve;
	});
	return {promise, resolve: resolveSignal};
}

describe('peers', () => {
	it('delivers a message with the name and incarnation of its sender', async () => {
		const a = createTestPeers('a');
		const b = createTestPeers('b');
		const port = await b.peers.listen();
		a.peers.setHosts([toHost('b', port)]);
		a.peers.send('b', 'budgets/want', {amount: 3});
		expect(await b.message).toEqual({
			from: {name: 'a', incarnation: 'a-1'},
			topic: 'budgets/want',
			payload: {amount: 3},
		});
		a.peers.close();
		b.peers.close();
	});

	it('tells of a peer that cannot be reached', async () => {
		const a = createTestPeers('a');
		const gone = createTestPeers('b');
		const port = await gone.peers.listen();
		gone.peers.close();
		a.peers.setHosts([toHost('b', port)]);
		a.peers.send('b', 'budgets/want', {});
		expect(await a.unreachable).toEqual('b');
		a.peers.close();
	});

	it('refuses to send to a host that it was not told of', () => {
		const a = createTestPeers('a');
		expect(a.peers.send('b', 'budgets/want', {})).toEqual(false);
		a.peers.close();
	});
});
