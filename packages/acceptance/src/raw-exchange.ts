import {connect} from 'node:net';
import type {Milliseconds} from '@parsleyvale/shared';

const idleTimeout: Milliseconds = 3000;

/** The statuses of all responses received on a connection, and its raw text. */
export type RawResponses = {
	readonly statuses: readonly number[];
	readonly text: string;
};

/**
 * Sends raw bytes and reads until the peer closes the connection, until
 * `expectedResponses` status lines have been received, or until the connection
 * has been idle for the timeout.
 */
export async function sendRaw(
	address: string,
	port: number,
	bytes: string,
	expectedResponses = Number.POSITIVE_INFINITY,
): Promise<RawResponses> {
	return new Promise((resolve) => {
		const socket = connect(port, address);
		let text = '';
		const finish = () => {
			socket.destroy();
			resolve({statuses: parseStatuses(text), text});
		};

		socket.setTimeout(idleTimeout, finish);
		socket.on('error', finish);
		socket.on('close', finish);
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
			if (parseStatuses(text).length >= expectedResponses) {
				finish();
			}
		});
		socket.write(bytes, 'latin1');
	});
}

function parseStatuses(text: string): number[] {
	return [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) =>
		Number(match[1]),
	);
}
