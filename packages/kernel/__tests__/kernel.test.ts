import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	Plugin,
	createKernel,
	createServiceKey,
	type Kernel,
} from '../src/index.js';

const self = {
	name: 'tpe-a-1',
	incarnation: '1',
	region: 'tpe',
	failureDomain: 'tpe-a',
	callers: {address: '127.0.0.1', port: 1},
	peers: {address: '127.0.0.1', port: 2},
	leaving: false,
};

class Recorder extends Plugin {
	readonly seen: string[] = [];

	get name(): string {
		return 'recorder';
	}

	install(kernel: Kernel): void {
		kernel.on('tick', (event, context) => {
			this.seen.push(`${event.type} at ${context.now}`);
			context.raise({type: 'stop-requested'});
			this.seen.push('raised');
		});
		kernel.on('stop-requested', (_event, context) => {
			this.seen.push('stop');
			context.emit({type: 'watch-object', name: 'a'});
		});
	}
}

function createTestKernel(): Kernel {
	return createKernel({self, random: () => 0});
}

describe('kernel', () => {
	it('takes raised events after the handlers of the present one', () => {
		const recorder = new Recorder();
		const effects = createTestKernel().use(recorder).handle({type: 'tick'}, 7);
		expect(recorder.seen).toEqual(['tick at 7', 'raised', 'stop']);
		expect(effects).toEqual([{type: 'watch-object', name: 'a'}]);
	});

	it('names the service that no plug-in provides', () => {
		const key = createServiceKey<string>('weather');
		expect(() => createTestKernel().inject(key)).toThrow(
			'No plug-in provides "weather".',
		);
	});

	it('stops plug-ins that raise events in a loop', () => {
		const kernel = createTestKernel();
		kernel.on('tick', (event, context) => {
			context.raise(event);
		});
		expect(() => kernel.handle({type: 'tick'}, 0)).toThrow(
			'Plug-ins raise events in a loop.',
		);
	});
});
