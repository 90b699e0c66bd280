import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';
import {createManualClock} from '@parsleyvale/shared';
import {expect} from 'earl';
import {createLogWriter, type LogPriority} from '../src/index.js';

function createFixture(bytesPerSecond: number, maximumUnread = 1_000_000) {
	const output = new PassThrough({highWaterMark: 10_000_000});
	const clock = createManualClock(0);
	const log = createLogWriter({
		output,
		clock,
		host: 'host-1',
		bytesPerSecond,
		maximumUnread,
	});
	const readLines = () =>
		String(output.read() ?? '')
			.split('\n')
			.filter((line) => line !== '')
			.map((line) => JSON.parse(line) as Record<string, unknown>);
	return {log, clock, output, readLines};
}

describe('the log writer', () => {
	it('writes one line of JSON per message, with the host and the fields', () => {
		const {log, readLines} = createFixture(10_000);
		log.log('belief', 'store lost', {reason: 'timeout'});
		const [line] = readLines();
		expect(line).toEqual({
			time: expect.a(String),
			host: 'host-1',
			message: 'store lost',
			reason: 'timeout',
		});
	});

	it('stays within its budget and reports how many lines it dropped', () => {
		const {log, clock, readLines} = createFixture(10_000);
		let writtenBytes = 0;
		for (let count = 0; count < 10_000; count++) {
			log.log('request', 'request placed', {requestId: `request-${count}`});
			clock.advance(1);
		}

		clock.advance(5000);
		log.log('belief', 'last', {});
		const lines = readLines();
		for (const line of lines) {
			writtenBytes += JSON.stringify(line).length + 1;
		}

		// Ten seconds of refill and the initial budget of one second.
		expect(writtenBytes).toBeLessThanOrEqual(10_000 * 11);
		const dropped = lines.reduce(
			(sum, line) => sum + Number(line.dropped ?? 0),
			0,
		);
		expect(dropped).toEqual(log.dropped);
		expect(lines.length + dropped).toEqual(10_001);
	});

	it('prefers state changes, then failures, when overloaded', () => {
		const {log, readLines} = createFixture(4000);
		const priorities: LogPriority[] = ['request', 'failure', 'belief'];
		for (let count = 0; count < 300; count++) {
			for (const priority of priorities) {
				log.log(priority, priority, {count});
			}
		}

		const lines = readLines();
		const [requests, failures, beliefs] = priorities.map(
			(priority) => lines.filter(({message}) => message === priority).length,
		);
		expect(requests!).toBeLessThanOrEqual(failures!);
		expect(failures!).toBeLessThanOrEqual(beliefs!);
		expect(beliefs!).toBeGreaterThanOrEqual(1);
	});

	it('drops lines instead of buffering them when the output is not read', () => {
		const output = new PassThrough({highWaterMark: 10});
		const log = createLogWriter({
			output,
			clock: createManualClock(0),
			host: 'host-1',
			bytesPerSecond: 1_000_000,
			maximumUnread: 2000,
		});
		for (let count = 0; count < 1000; count++) {
			log.log('belief', 'x', {count});
		}

		expect(output.writableLength).toBeLessThanOrEqual(2200);
		expect(log.dropped).toBeGreaterThanOrEqual(900);
	});

	it('does not block the process when a full pipe is not read', async () => {
		const script = `
			import {createLogWriter} from ${JSON.stringify(import.meta.resolve('../src/index.js'))};
			import {createSystemClock} from '@parsleyvale/shared';
			const log = createLogWriter({output: process.stdout, clock: createSystemClock(),
				host: 'h', bytesPerSecond: 1e9, maximumUnread: 1e5});
			let ticks = 0;
			const timer = setInterval(() => {
				for (let n = 0; n < 500; n++) log.log('belief', 'x'.repeat(200), {n});
				if (++ticks === 50) {
					clearInterval(timer);
					process.stderr.write('done ' + (log.dropped > 0), () => process.exit(0));
				}
			}, 1);`;
		const child = spawn(
			process.execPath,
			['--input-type=module', '--eval', script],
			{
				cwd: new URL('.', import.meta.url),
				// Standard output is a pipe that is never read.
				stdio: ['ignore', 'pipe', 'pipe'],
			},
		);
		let stderrOutput = '';
		child.stderr.on('data', (bytes) => {
			stderrOutput += String(bytes);
		});
		await once(child, 'exit');
		expect(stderrOutput).toEqual('done true');
	});
});
