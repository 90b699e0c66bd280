import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EntryHost} from '@parsleyvale/shared';
import {createPeers, type ReceivedMessage} from '../src/index.js';

const address = '127.0.0.1';

function createHost(name: string, port: number): EntryHost {
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
		createDeferred<ReceivedMessage>();
	const {promise: unreachable, resolve: onUnreachable} =
		createDeferred<string>();
	const peers = createPeers({
		self: {name, incarnation: `${name}-1`},
		endpoint: {address, port: 0},
		onMessage,
		onUnreachable,
	});
	return {peers, message, unreachable};
}

type Deferred<Value> = {
	readonly promise: Promise<Value>;
	readonly resolve: (value: Value) => void;
};

function createDeferred<Value>(): Deferred<Value> {
	let resolvePromise: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>((resolve) => {
		resolvePromise = resolve;
	});
	return {promise, resolve: resolvePromise};
}

describe('peers', () => {
	it('delivers a message with the name and incarnation of its sender', async () => {
		const a = createTestPeers('a');
		const b = createTestPeers('b');
		const port = await b.peers.listen();
		a.peers.setHosts([createHost('b', port)]);
		a.peers.send('b', 'budgets/want', {amount: 3});
		expect(await b.message).toEqual({
			from: {name: 'a', incarnation: 'a-1'},
			topic: 'budgets/want',
			payload: {amount: 3},
		});
		a.peers.close();
		b.peers.close();
	});

	it('reports a peer that cannot be reached', async () => {
		const a = createTestPeers('a');
		const unreachablePeer = createTestPeers('b');
		const port = await unreachablePeer.peers.listen();
		unreachablePeer.peers.close();
		a.peers.setHosts([createHost('b', port)]);
		a.peers.send('b', 'budgets/want', {});
		expect(await a.unreachable).toEqual('b');
		a.peers.close();
	});

	it('refuses to send to an unknown host', () => {
		const a = createTestPeers('a');
		expect(a.peers.send('b', 'budgets/want', {})).toEqual(false);
		a.peers.close();
	});
});
