import {createKernel, type KernelOptions} from '@parsleyvale/kernel';
import {HostStatePlugin} from './host-state-plugin.js';
import {DigestPlugin} from './messages/digest-plugin.js';
import type {SteeringEffect} from './effect.js';
import type {SteeringEvent} from './event.js';
import {LimitsPlugin} from './limits-plugin.js';
import {SteeringLookUpPlugin} from './look-up-plugin.js';
import {CrashesPlugin} from './crashes/crashes-plugin.js';
import {RegistrationPlugin} from './membership/registration-plugin.js';
import {PlacementPlugin} from './placement/placement-plugin.js';
import {SteeringRequestsPlugin} from './admission/requests-plugin.js';
import type {SteeringSettings} from './settings.js';
import type {SteeringKernel} from './types.js';

/**
 * Creates the decision kernel of one host, for backend servers that register
 * themselves.
 *
 * @example
 * const kernel = createSteering(settings);
 * const effects = kernel.handle({type: 'tick'}, clock.now());
 */
export function createSteering(
	settings: SteeringSettings,
	onHandlerError?: KernelOptions['onHandlerError'],
): SteeringKernel {
	const {self, random} = settings;
	const [address = ''] = self.callers.split(':', 1);
	const port = Number(self.callers.slice(address.length + 1));
	return createKernel<SteeringEvent, SteeringEffect>({
		self: {
			name: self.name,
			incarnation: self.incarnation,
			region: self.region,
			failureDomain: self.failureDomain,
			callers: {address, port},
			peers: {address: self.peerAddress, port: self.peerPort},
			leaving: false,
		},
		random,
		onHandlerError,
	})
		.use(new HostStatePlugin(settings))
		.use(new LimitsPlugin())
		.use(new CrashesPlugin())
		.use(new PlacementPlugin())
		.use(new SteeringRequestsPlugin())
		.use(new SteeringLookUpPlugin())
		.use(new DigestPlugin())
		.use(new RegistrationPlugin());
}
