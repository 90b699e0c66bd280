import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Endpoint} from '@parsleyvale/shared';

/** Starts to listen; returns the port, which the system assigns for port 0. */
export async function listen(
	server: Server,
	{address, port}: Endpoint,
): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, () => {
			resolve((server.address() as AddressInfo).port);
		});
	});
}
