import {connect} from 'node:net';
import type {Milliseconds} from '@parsleyvale/shared';

const silenceTimeout: Milliseconds = 3000;

/** The statuses of all answers that came on one connection, and all bytes. */
export type RawAnswers = {
	readonly statuses: readonly number[];
	readonly text: string;
};

/**
 * Sends bytes as they are and reads until the other side closes, or, when
 * `answers` are given, until that many have begun.
 */
export async function sendRaw(
	address: string,
	port: number,
	bytes: string,
	answers = Number.POSITIVE_INFINITY,
): Promise<RawAnswers> {
	return new Promise((resolve) => {
		const socket = connect(port, address);
		let text = '';
		const finish = () => {
			socket.destroy();
			resolve({statuses: listStatuses(text), text});
		};

		socket.setTimeout(silenceTimeout, finish);
		socket.on('error', finish);
		socket.on('close', finish);
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
			if (listStatuses(text).length >= answers) {
				finish();
			}
		});
		socket.write(bytes, 'latin1');
	});
}

function listStatuses(text: string): number[] {
	return [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) =>
		Number(match[1]),
	);
}
