import {describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import {expect} from 'earl';
import {createKernel, KernelDriver} from '../src/index.js';
import {self} from './support/self.js';

describe('the driver of a kernel', () => {
	it('carries out the other effects, and further events, after one has failed', () => {
		const kernel = createKernel({self, random: () => 0});
		kernel.on('tick', (_event, context) => {
			context.emit({type: 'watch-object', name: 'broken'});
			context.emit({type: 'watch-object', name: 'sound'});
		});
		const errors: string[] = [];
		const driver = new KernelDriver(
			kernel,
			createManualClock(0),
			(error, effectType) => {
				errors.push(`${effectType}: ${String(error)}`);
			},
		);
		const watched: string[] = [];
		driver.onEffect('watch-object', ({name}) => {
			if (name === 'broken') {
				throw new Error('no such object');
			}

			watched.push(name);
		});
		driver.handle({type: 'tick'});
		driver.handle({type: 'tick'});
		expect(watched).toEqual(['sound', 'sound']);
		expect(errors.length).toEqual(2);
		expect(errors[0]).toEqual('watch-object: Error: no such object');
	});
});
