/** Counters of a backend server since it started. */
export type BackendCounts = {
	connections: number;
	openConnections: number;
	/** Highest number of connections open at the same time. */
	maximumOpenConnections: number;
	probes: number;
	begun: number;
	shed: number;
	/** Requests cancelled or past their deadline before they got a slot. */
	aborted: number;
	/** Requests refused because the server was draining. */
	refusedInDrain: number;
	cancelled: number;
	/** Highest number of requests running and queued at the same time. */
	maximumInFlight: number;
};

export function createBackendCounts(): BackendCounts {
	return {
		connections: 0,
		openConnections: 0,
		maximumOpenConnections: 0,
		probes: 0,
		begun: 0,
		shed: 0,
		aborted: 0,
		refusedInDrain: 0,
		cancelled: 0,
		maximumInFlight: 0,
	};
}
