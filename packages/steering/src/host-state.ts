import {createServiceKey} from '@parsleyvale/kernel';
import type {Milliseconds} from '@parsleyvale/shared';
import {RequestRate} from './request-rate.js';
import {ConfigurationState} from './configuration-state.js';
import {ServerTable} from './servers/server-table.js';
import {LoadControl} from './load-control.js';
import {Members} from './members.js';
import type {SteeringSettings} from './settings.js';
import {StopSchedule} from './stop-schedule.js';
import {StoreOutage} from './store-outage.js';

/** This host's own state, and what it knows from the store and from other hosts. */
export class HostState {
	readonly configuration = new ConfigurationState();
	readonly serverTable: ServerTable;
	readonly members: Members;
	/** Rate of requests that callers send to this host. */
	readonly requestRate = new RequestRate();
	/** Whether this host reads from the store itself. */
	isReading = true;
	/** Whether the last call to the store failed. */
	isStoreUnreachable = false;
	readonly storeOutage = new StoreOutage();
	readonly stopSchedule: StopSchedule;
	readonly loadControl: LoadControl;

	constructor(readonly settings: SteeringSettings) {
		this.members = new Members(settings.self.name);
		this.stopSchedule = new StopSchedule(settings.stopTimeout);
		this.loadControl = new LoadControl(settings.isLoadControlRequired);
		this.serverTable = new ServerTable(this.loadControl);
	}

	/** Whether this host carries a part of the load, rather than an occasional request. */
	isActive(now: Milliseconds): boolean {
		const ownRate = this.requestRate.computePerSecond(now);
		return ownRate > 0 && ownRate >= this.members.computeActiveRate(ownRate);
	}

	/** Whether callers may be directed to this host. */
	get isReady(): boolean {
		return (
			!this.stopSchedule.isStopping &&
			this.configuration.current !== undefined &&
			this.serverTable.isRead
		);
	}
}

export const hostStateKey = createServiceKey<HostState>('beliefs');
