import {createManualClock} from '@parsleyvale/shared';
import type {
	ServerConnection,
	ServerExchange,
} from '../../src/server-connection.js';
import {ServerConnections} from '../../src/server-connections.js';
import {headerNames} from './attempt-options.js';

/** Connections that respond to each request by calling `respond`. */
export class FakeConnections extends ServerConnections {
	constructor(readonly respond: (exchange: ServerExchange) => void) {
		super(createManualClock(0), headerNames.requestId);
	}

	override acquire(): ServerConnection {
		const connection: Partial<ServerConnection> = {
			send: (exchange) => {
				this.respond(exchange);
			},
			pause: () => undefined,
			resume: () => undefined,
			close: () => undefined,
		};
		return connection as ServerConnection;
	}
}
