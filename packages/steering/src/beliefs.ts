import {createServiceKey} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {Activity} from './activity.js';
import {ConfigurationState} from './configuration-state.js';
import {Fleet} from './fleet.js';
import {Members} from './members.js';
import type {SteeringSettings} from './settings.js';
import {StoreOutage} from './store-outage.js';

/** What this host holds to be so, from the store and from other hosts. */
export class Beliefs {
	readonly configuration = new ConfigurationState();
	readonly fleet = new Fleet();
	readonly members: Members;
	/** Requests that callers send to this host. */
	readonly activity = new Activity();
	/** Whether this host follows the store itself. */
	isReading = true;
	isStopping = false;
	/** Whether the last call to the store failed. */
	isStoreLost = false;
	readonly storeOutage = new StoreOutage();

	constructor(readonly settings: SteeringSettings) {
		this.members = new Members(settings.self.name);
	}

	/** Whether this host has a part of the fleet's load, and not only a request now and then. */
	isActive(now: Milliseconds): boolean {
		const own = this.activity.computePerSecond(now);
		return own > 0 && own >= this.members.computeActiveRate(own);
	}

	/** Whether callers may be sent here. */
	get isReady(): boolean {
		return (
			!this.isStopping &&
			this.configuration.current !== undefined &&
			this.fleet.revision >= 0
		);
	}
}

export const beliefsKey = createServiceKey<Beliefs>('beliefs');
