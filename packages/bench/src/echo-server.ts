import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';

const bodyBytes = 512;
const body = 'x'.repeat(bodyBytes);

/** A minimal server whose responses the daemon accepts. */
const server = createServer((request, response) => {
	request.resume();
	request.on('end', () => {
		const requestId = request.headers['x-request-id'];
		response.writeHead(200, [
			'content-type',
			'text/plain',
			'content-length',
			String(bodyBytes),
			'x-request-id',
			typeof requestId === 'string' ? requestId : '',
		]);
		response.end(body);
	});
});
server.keepAliveTimeout = 120_000;
server.listen(0, '127.0.0.1', () => {
	const {port} = server.address() as AddressInfo;
	process.stdout.write(`${JSON.stringify({port})}\n`);
});
process.once('SIGTERM', () => {
	server.closeAllConnections();
	server.close();
});
