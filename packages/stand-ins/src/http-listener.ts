import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Endpoint} from '@parsleyvale/shared';

/** Starts listening; with port 0 the operating system picks a free port. */
export async function startListening(
	server: Server,
	endpoint: Endpoint,
): Promise<Endpoint> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(endpoint.port, endpoint.address, () => {
			server.off('error', reject);
			resolve();
		});
	});
	const {address, port} = server.address() as AddressInfo;
	return {address, port};
}

/** Stops listening and closes every connection. */
export async function stopListening(server: Server): Promise<void> {
	await new Promise<void>((resolve) => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
