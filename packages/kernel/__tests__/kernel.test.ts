import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	Plugin,
	createKernel,
	createServiceKey,
	type Kernel,
} from '../src/index.js';
import {self} from './support/self.js';

class RecorderPlugin extends Plugin {
	readonly records: string[] = [];

	get name(): string {
		return 'recorder';
	}

	install(kernel: Kernel): void {
		kernel.on('tick', (event, context) => {
			this.records.push(`${event.type} at ${context.now}`);
			context.raise({type: 'stop-requested'});
			this.records.push('raised');
		});
		kernel.on('stop-requested', (_event, context) => {
			this.records.push('stop');
			context.emit({type: 'watch-object', name: 'a'});
		});
	}
}

function createTestKernel(): Kernel {
	return createKernel({self, random: () => 0});
}

describe('kernel', () => {
	it('dispatches raised events after all handlers of the current event', () => {
		const recorder = new RecorderPlugin();
		const effects = createTestKernel().use(recorder).handle({type: 'tick'}, 7);
		expect(recorder.records).toEqual(['tick at 7', 'raised', 'stop']);
		expect(effects).toEqual([{type: 'watch-object', name: 'a'}]);
	});

	it('names the missing service in the error of inject', () => {
		const key = createServiceKey<string>('weather');
		expect(() => createTestKernel().inject(key)).toThrow(
			'No plug-in provides "weather".',
		);
	});

	it('runs the other handlers of an event after one has thrown, and keeps the effects', () => {
		const errors: string[] = [];
		const kernel = createKernel({
			self,
			random: () => 0,
			onHandlerError(error, eventType) {
				errors.push(`${eventType}: ${String(error)}`);
			},
		});
		kernel.on('tick', (_event, context) => {
			context.emit({type: 'watch-object', name: 'before'});
			throw new Error('broken');
		});
		kernel.on('tick', (_event, context) => {
			context.emit({type: 'watch-object', name: 'after'});
		});
		for (const now of [1, 2]) {
			expect(kernel.handle({type: 'tick'}, now)).toEqual([
				{type: 'watch-object', name: 'before'},
				{type: 'watch-object', name: 'after'},
			]);
		}

		expect(errors).toEqual(['tick: Error: broken', 'tick: Error: broken']);
	});

	it('throws the error of a handler if no function to report it is given', () => {
		const kernel = createTestKernel();
		kernel.on('tick', () => {
			throw new Error('broken');
		});
		expect(() => kernel.handle({type: 'tick'}, 1)).toThrow('broken');
	});

	it('throws if plug-ins raise events in an endless loop', () => {
		const kernel = createTestKernel();
		kernel.on('tick', (event, context) => {
			context.raise(event);
		});
		expect(() => kernel.handle({type: 'tick'}, 0)).toThrow(
			'Plug-ins raise events in an endless loop.',
		);
	});
});
