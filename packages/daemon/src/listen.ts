import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Endpoint} from '@parsleyvale/shared';

/** Starts to listen and returns the port, which port 0 leaves to the system. */
export async function runListener(
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
