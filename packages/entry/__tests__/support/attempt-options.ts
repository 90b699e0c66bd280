import type {BackendServer} from '@parsleyvale/steering';
import type {HeaderNames} from '../../src/header-names.js';

export const headerNames: HeaderNames = {
	requestId: 'x-id',
	deadline: 'x-deadline',
	affinity: 'x-affinity',
	key: 'x-key',
	customer: 'x-customer',
	expectedServer: 'x-expected-server',
	notRun: 'x-not-run',
	load: 'x-load',
	rateLimit: 'x-limit',
	seal: 'x-seal',
};

export function createServer(): BackendServer {
	return {
		id: 'server-1',
		service: 'desk',
		address: '127.0.0.1',
		port: 1,
		failureDomain: 'a',
		region: 'east',
		slots: 4,
		isDraining: false,
		coldRemainingMs: 0,
		incarnation: '1',
	};
}
